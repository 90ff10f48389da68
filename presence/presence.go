// Package presence tells which entry processes are alive, from the heartbeats that they write into a watched table. It is
// pure code.
//
// A process counts as dead when its heartbeat did not change for DeadAfter of time in which the watch itself was healthy,
// so that an outage of the store, which silences all heartbeats alike, makes nobody dead.
package presence

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Heartbeat is the heartbeat of one process.
type Heartbeat struct {
	// Host names the process, and Incarnation its start.
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	// Address is where its peers reach it, host:port.
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
	// Sequence grows with each beat.
	Sequence int64 `json:"sequence"`
	// Leaving processes take no more work.
	Leaving bool `json:"leaving,omitempty"`
	// Load holds the requests that the process has in flight at each upstream.
	Load map[string]int `json:"load,omitempty"`
	// Tokens holds what its texts hold of the memory of each upstream.
	Tokens map[string]int `json:"tokens,omitempty"`
	// CPUShare is what the process gets of the processor, in cores, and Items the unfinished items of its jobs.
	CPUShare float64 `json:"processor"`
	Items    int     `json:"items"`
	// ConfigVersion is the configuration in force in the process.
	ConfigVersion int64 `json:"config_version"`
}

// View holds the last heartbeat of each process.
type View struct {
	deadAfter time.Duration
	peers     map[string]*peer
	// watchedTime counts the time in which the watch was healthy.
	watchedTime time.Duration
	lastTick    time.Time
}

type peer struct {
	heartbeat Heartbeat
	// changedAt is the reading of watched at the last change.
	changedAt time.Duration
}

// NewView returns an empty view.
func NewView(deadAfter time.Duration) *View {
	return &View{deadAfter: deadAfter, peers: map[string]*peer{}}
}

// Tick advances the view to now. healthy says that the watch was in touch with the store since the last tick.
func (v *View) Tick(now time.Time, healthy bool) {
	if healthy && !v.lastTick.IsZero() {
		// A process that was frozen itself has heard nobody and learns nothing about the others from that time.
		v.watchedTime += min(now.Sub(v.lastTick), v.deadAfter/4)
	}
	v.lastTick = now
}

// Observe takes a heartbeat.
func (v *View) Observe(hb Heartbeat) {
	p, ok := v.peers[hb.Host]
	if !ok {
		p = &peer{}
		v.peers[hb.Host] = p
	}
	if ok && p.heartbeat.Incarnation == hb.Incarnation && p.heartbeat.Sequence == hb.Sequence {
		return
	}
	p.heartbeat, p.changedAt = hb, v.watchedTime
}

// Forget drops a process that removed its heartbeat.
func (v *View) Forget(host string) { delete(v.peers, host) }

// Alive reports whether an incarnation of a process runs, and whether that is known at all: a process that was never
// heard of becomes known to be dead after DeadAfter of watching.
func (v *View) Alive(host, incarnation string) bool {
	p, ok := v.peers[host]
	if !ok {
		return v.watchedTime < v.deadAfter
	}
	return p.heartbeat.Incarnation == incarnation && v.fresh(p)
}

func (v *View) fresh(p *peer) bool { return v.watchedTime-p.changedAt < v.deadAfter }

// Live returns the beats of the processes that run, ordered by host.
func (v *View) Live() []Heartbeat { return v.SeenWithin(v.deadAfter) }

// SeenWithin returns the beats of the processes whose last one is younger than d of watched time, ordered by host.
func (v *View) SeenWithin(d time.Duration) []Heartbeat {
	var list []Heartbeat
	for _, p := range v.peers {
		if v.watchedTime-p.changedAt < d {
			list = append(list, p.heartbeat)
		}
	}
	slices.SortFunc(list, func(a, b Heartbeat) int { return cmp.Compare(a.Host, b.Host) })
	return list
}

// All returns the last beat of every process that was ever heard, ordered by host.
func (v *View) All() []Heartbeat {
	var list []Heartbeat
	for _, name := range slices.Sorted(maps.Keys(v.peers)) {
		list = append(list, v.peers[name].heartbeat)
	}
	return list
}
