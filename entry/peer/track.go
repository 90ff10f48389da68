package peer

import (
	"slices"
	"time"

	"github.com/radishshelf/radishshelf/membership"
)

// change is the kind of a change in the state of an upstream. More urgent kinds have lower values.
type change int

const (
	changedAvailability change = iota // Leaving or Healthy
	changedIncarnation                // Incarnation
	changedVersion                    // ActiveVersion or StagedVersions
	unchanged
)

// sendRecord records what was sent to one data centre.
type sendRecord struct {
	lastSent time.Time
	// sendsSinceChange counts the reports sent since the last change.
	sendsSinceChange int
}

// upstreamTrack records the last change of an upstream and what was sent about it to each data centre.
type upstreamTrack struct {
	last      membership.Upstream
	change    change
	changedAt time.Time
	sent      map[string]*sendRecord
	seen      bool
}

func newUpstreamTrack(u membership.Upstream, now time.Time) *upstreamTrack {
	return &upstreamTrack{last: u, change: changedIncarnation, changedAt: now, sent: map[string]*sendRecord{}, seen: true}
}

// observe updates the track with the current state. Within changeWindow, a less urgent change does not replace a more
// urgent one.
func (t *upstreamTrack) observe(u membership.Upstream, now time.Time) {
	t.seen = true
	changed := compareUpstreams(t.last, u)
	t.last = u
	if changed == unchanged {
		return
	}
	if changed > t.change && now.Sub(t.changedAt) < changeWindow {
		changed = t.change
	}
	t.change, t.changedAt = changed, now
	for _, s := range t.sent {
		s.sendsSinceChange = 0
	}
}

func compareUpstreams(a, b membership.Upstream) change {
	switch {
	case a.Leaving != b.Leaving || a.Healthy != b.Healthy:
		return changedAvailability
	case a.Incarnation != b.Incarnation:
		return changedIncarnation
	case a.ActiveVersion != b.ActiveVersion || !slices.Equal(a.StagedVersions, b.StagedVersions):
		return changedVersion
	default:
		return unchanged
	}
}

func (t *upstreamTrack) sentTo(dataCentre string) *sendRecord {
	s, ok := t.sent[dataCentre]
	if !ok {
		s = &sendRecord{}
		t.sent[dataCentre] = s
	}
	return s
}

// needsSend reports whether the last change is within changeWindow and has been sent fewer than sends times.
func (t *upstreamTrack) needsSend(s *sendRecord, sends int, now time.Time) bool {
	return now.Sub(t.changedAt) < changeWindow && s.sendsSinceChange < sends
}
