package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fleetModel is a job and the hosts that may run it. Each host acts on the heartbeats and the record as it last heard them;
// the store accepts a change of the record only at the version that the host read.
type fleetModel struct {
	now     time.Duration
	version int
	owner   string // HOST@START; empty if released
	release Release
	live    map[string]Successor
	views   map[string]fleetView
	// interrupted counts the ends of owners, and takeovers the changes of owner.
	interrupted, takeovers int
}

// fleetView is what one host has heard, and since when the job has been without an owner for it.
type fleetView struct {
	hosts       []Successor
	version     int
	owner       string
	release     Release
	orphanSince time.Duration
}

const modelRankDelay = 600 * time.Millisecond

func process(h Successor) string { return fmt.Sprintf("%s@%s", h.Name, h.StartedAt) }

func (m *fleetModel) ownerLives() bool {
	for _, h := range m.live {
		if process(h) == m.owner {
			return true
		}
	}
	return false
}

// end ends the process of a host, as planned or not.
func (m *fleetModel) end(name string, planned bool) {
	h := m.live[name]
	delete(m.live, name)
	delete(m.views, name)
	if m.owner != process(h) {
		return
	}
	m.interrupted++
	if planned {
		m.owner, m.release = "", Release{Host: name, OwnerStartedAt: h.StartedAt, At: m.now}
		m.version++
	}
}

// hear gives a host the current state.
func (m *fleetModel) hear(name string) {
	v := m.views[name]
	if v.version != m.version {
		v.orphanSince = m.now
	}
	v.hosts, v.version, v.owner, v.release = nil, m.version, m.owner, m.release
	for _, h := range m.live {
		v.hosts = append(v.hosts, h)
	}
	m.views[name] = v
}

// act lets a host take over the job if it is its turn, and reports whether it did.
func (m *fleetModel) act(name string) bool {
	v := m.views[name]
	isOwned := slices.ContainsFunc(v.hosts, func(h Successor) bool { return process(h) == v.owner })
	if isOwned || len(v.hosts) == 0 {
		return false
	}
	turn := max(slices.Index(Succession("job", "north", 60, v.release, v.hosts), name), 0)
	if m.now-v.orphanSince < time.Duration(turn)*modelRankDelay || v.version != m.version {
		return false
	}
	m.owner, m.release = process(m.live[name]), Release{}
	m.version++
	m.takeovers++
	return true
}

// Guards, over series of stops, starts and deaths that the hosts hear of at different times, against a takeover from a live
// owner, against more than one for each end of an owner, and against a job that stays without an owner for longer than the
// turns of the live hosts take.
func TestEachEndOfAnOwnerHasOneTakeover(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &fleetModel{
			now: time.Minute, version: 1, release: Release{Host: "first"},
			live: map[string]Successor{}, views: map[string]fleetView{},
		}
		names := []string{"a", "b", "c", "d", "e"}
		start := func(name string, crashed bool) {
			h := Host{Name: name, Region: rapid.SampledFrom([]string{"north", "south"}).Draw(t, "region"), CPUShare: 0.5}
			settled := rapid.Bool().Draw(t, "settled")
			m.live[name] = Successor{Host: h, StartedAt: m.now, Settled: settled, AfterCrash: crashed}
		}
		for _, name := range names {
			start(name, false)
		}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			m.now += time.Duration(rapid.IntRange(1, 900).Draw(t, "passes")) * time.Millisecond
			name := rapid.SampledFrom(names).Draw(t, "host")
			_, isLive := m.live[name]
			switch event := rapid.SampledFrom([]string{"stop", "kill", "hear", "act", "act"}).Draw(t, "event"); {
			case !isLive:
				start(name, event == "kill")
			case event == "hear":
				m.hear(name)
			case event == "act":
				if ownerLives := m.ownerLives(); m.act(name) && ownerLives {
					t.Fatalf("%s takes the job from a live owner", name)
				}
			case len(m.live) > 1:
				m.end(name, event == "stop")
			}
			if m.takeovers > m.interrupted+1 { // the first one follows the release with which the session begins
				t.Fatalf("%d takeovers after %d ends of owners", m.takeovers, m.interrupted)
			}
		}
		for name := range m.live {
			m.hear(name)
		}
		m.now += time.Duration(len(m.live)) * modelRankDelay
		for _, name := range names {
			if _, ok := m.live[name]; ok {
				m.hear(name)
				m.act(name)
			}
		}
		if !m.ownerLives() {
			t.Fatalf("the job has no live owner after the turns of %d hosts", len(m.live))
		}
	})
}
