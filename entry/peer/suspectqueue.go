package peer

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/radishshelf/radishshelf/quarantine"
	"github.com/radishshelf/radishshelf/rpc"
)

// repeatedSuspects is the number of unchanged fingerprints repeated in each message, for entries that missed them.
const repeatedSuspects = 1

// suspectTrack records when a fingerprint changed and when it was sent to each data centre.
type suspectTrack struct {
	suspect   quarantine.Suspect
	changedAt time.Time
	sent      map[string]*sendRecord
	seen      bool
}

// suspectQueue selects the quarantined fingerprints for each message. It is not safe for concurrent use.
type suspectQueue struct {
	tracks map[string]*suspectTrack
}

func newSuspectQueue() *suspectQueue { return &suspectQueue{tracks: map[string]*suspectTrack{}} }

// observe updates the tracks from the quarantine list and returns them in the order of the list.
func (q *suspectQueue) observe(suspects []quarantine.Suspect, now time.Time) []*suspectTrack {
	for _, t := range q.tracks {
		t.seen = false
	}
	list := make([]*suspectTrack, 0, len(suspects))
	for _, s := range suspects {
		t, known := q.tracks[s.Fingerprint]
		if !known || s.Deaths > t.suspect.Deaths {
			t = &suspectTrack{changedAt: now, sent: map[string]*sendRecord{}}
			q.tracks[s.Fingerprint] = t
		}
		t.suspect, t.seen = s, true
		list = append(list, t)
	}
	for fingerprint, t := range q.tracks {
		if !t.seen {
			delete(q.tracks, fingerprint)
		}
	}
	return list
}

// selectSuspects returns the fingerprints that have been sent to the data centre fewer than sends times since their
// last recorded death, and repeatedSuspects of the others, in at most limit bytes. It also returns the number of bytes
// used.
func (q *suspectQueue) selectSuspects(list []*suspectTrack, dataCentre string, sends, limit int, now time.Time) ([]*rpc.Quarantined, int) {
	var chosen []quarantine.Suspect
	var rest []*suspectTrack
	used := 0
	add := func(t *suspectTrack) {
		size := proto.Size(quarantinedOf([]quarantine.Suspect{t.suspect})[0]) + fieldOverhead
		if used+size > limit {
			return
		}
		used += size
		s := t.sentTo(dataCentre)
		s.lastSent = now
		s.sendsSinceChange++
		chosen = append(chosen, t.suspect)
	}
	for _, t := range list {
		if t.sentTo(dataCentre).sendsSinceChange < sends && now.Sub(t.changedAt) < changeWindow {
			add(t)
		} else {
			rest = append(rest, t)
		}
	}
	slices.SortStableFunc(rest, func(x, y *suspectTrack) int {
		return x.sentTo(dataCentre).lastSent.Compare(y.sentTo(dataCentre).lastSent)
	})
	for _, t := range rest[:min(len(rest), repeatedSuspects)] {
		add(t)
	}
	return quarantinedOf(chosen), used
}

func (t *suspectTrack) sentTo(dataCentre string) *sendRecord {
	s, ok := t.sent[dataCentre]
	if !ok {
		s = &sendRecord{}
		t.sent[dataCentre] = s
	}
	return s
}
