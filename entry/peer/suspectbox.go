package peer

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/radishshelf/radishshelf/quarantine"
	"github.com/radishshelf/radishshelf/rpc"
)

// refreshedSuspects is how many fingerprints that did not change an answer repeats, for entries that missed them.
const refreshedSuspects = 1

// suspectTrack remembers of one fingerprint what was sent.
type suspectTrack struct {
	suspect   quarantine.Suspect
	changedAt time.Time
	sent      map[string]*sent
	seen      bool
}

// suspectBox chooses the fingerprints of a message. It is not safe for concurrent use.
type suspectBox struct {
	tracks map[string]*suspectTrack
}

func newSuspectBox() *suspectBox { return &suspectBox{tracks: map[string]*suspectTrack{}} }

// observe takes the quarantine list, and returns the tracks in its order.
func (b *suspectBox) observe(suspects []quarantine.Suspect, now time.Time) []*suspectTrack {
	for _, t := range b.tracks {
		t.seen = false
	}
	list := make([]*suspectTrack, 0, len(suspects))
	for _, s := range suspects {
		t, known := b.tracks[s.Fingerprint]
		if !known || s.Deaths > t.suspect.Deaths {
			t = &suspectTrack{changedAt: now, sent: map[string]*sent{}}
			b.tracks[s.Fingerprint] = t
		}
		t.suspect, t.seen = s, true
		list = append(list, t)
	}
	for fingerprint, t := range b.tracks {
		if !t.seen {
			delete(b.tracks, fingerprint)
		}
	}
	return list
}

// choose returns the fingerprints that the data centre was not sent sends times since their last death, and a few of
// the others, in at most limit bytes.
func (b *suspectBox) choose(list []*suspectTrack, dataCentre string, sends, limit int, now time.Time) ([]*rpc.Quarantined, int) {
	var chosen []quarantine.Suspect
	var rest []*suspectTrack
	used := 0
	add := func(t *suspectTrack) {
		size := proto.Size(quarantinedOf([]quarantine.Suspect{t.suspect})[0]) + overhead
		if used+size > limit {
			return
		}
		used += size
		s := t.to(dataCentre)
		s.at = now
		s.urgent++
		chosen = append(chosen, t.suspect)
	}
	for _, t := range list {
		if t.to(dataCentre).urgent < sends && now.Sub(t.changedAt) < urgentWindow {
			add(t)
		} else {
			rest = append(rest, t)
		}
	}
	slices.SortStableFunc(rest, func(x, y *suspectTrack) int {
		return x.to(dataCentre).at.Compare(y.to(dataCentre).at)
	})
	for _, t := range rest[:min(len(rest), refreshedSuspects)] {
		add(t)
	}
	return quarantinedOf(chosen), used
}

func (t *suspectTrack) to(dataCentre string) *sent {
	s, ok := t.sent[dataCentre]
	if !ok {
		s = &sent{}
		t.sent[dataCentre] = s
	}
	return s
}
