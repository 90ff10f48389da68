// Package presence tracks which entry processes are alive, from the heartbeats that they write into a watched table. It
// does no I/O and reads no clock.
//
// A process counts as dead when its heartbeat did not change for the peer timeout, counting only time in which the
// watch itself was healthy. An outage of the store, which stops all heartbeats, therefore marks no process dead.
package presence

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/radishshelf/radishshelf/evacuation"
	"github.com/radishshelf/radishshelf/upstreamlimit"
)

// Heartbeat is the row that a process rewrites regularly to show that it is alive.
type Heartbeat struct {
	// Host identifies the process, and Incarnation its current start.
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	// Address is the host:port at which peers reach the process.
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
	// Sequence increases with each heartbeat.
	Sequence int64 `json:"sequence"`
	// StartedAt is when the process started, on the store's clock; 0 if it has not read that clock yet. AfterCrash is set
	// if the process before it on the host ended without a planned stop.
	StartedAt  time.Duration `json:"started_at,omitempty"`
	AfterCrash bool          `json:"after_crash,omitempty"`
	// Leaving processes accept no more work.
	Leaving bool `json:"leaving,omitempty"`
	// Load holds the number of requests that the process has in flight at each upstream.
	Load map[string]int `json:"load,omitempty"`
	// Tokens holds the number of tokens that the process's texts occupy in the memory of each upstream.
	Tokens map[string]int `json:"tokens,omitempty"`
	// CPUShare is the CPU share of the process, in cores, and Items the number of unfinished items in its jobs.
	CPUShare float64 `json:"processor"`
	Items    int     `json:"items"`
	// ConfigVersion is the version of the configuration that the process uses.
	ConfigVersion int64 `json:"config_version"`
	// Limits holds the limits of upstreams that the process knows, and its demand for them; nil without limits.
	Limits *upstreamlimit.Report `json:"limits,omitempty"`
	// Evacuations holds the evacuations of data centres that the process applies, and those lately taken back.
	Evacuations []evacuation.Order `json:"evacuations,omitempty"`
}

// View holds the last heartbeat of each process. It is not safe for concurrent use.
type View struct {
	peerTimeout time.Duration
	peers       map[string]*peer
	// watchedTime is the total time in which the watch was healthy.
	watchedTime time.Duration
	lastTick    time.Time
	// heard holds the last incarnations of each process of which a heartbeat was observed, the latest one last.
	heard map[string][]string
}

// maxHeard bounds the incarnations of a process that a view remembers. Only the one that last owned a job is asked for.
const maxHeard = 8

type peer struct {
	heartbeat Heartbeat
	// changedAt is the value of watchedTime when the heartbeat last changed.
	changedAt time.Duration
	// heardAt is when the heartbeat last changed.
	heardAt time.Time
}

// NewView returns an empty view in which a process is dead after peerTimeout of watched time without a new heartbeat.
func NewView(peerTimeout time.Duration) *View {
	return &View{peerTimeout: peerTimeout, peers: map[string]*peer{}, heard: map[string][]string{}}
}

// Tick advances the view to now. healthy reports whether the watch was in contact with the store since the last tick.
func (v *View) Tick(now time.Time, healthy bool) {
	if healthy && !v.lastTick.IsZero() {
		// A process that was frozen itself received no heartbeats and learns nothing about the others from that time.
		v.watchedTime += min(now.Sub(v.lastTick), v.peerTimeout/4)
	}
	v.lastTick = now
}

// Observe records a heartbeat. A heartbeat that did not change has no effect.
func (v *View) Observe(hb Heartbeat) { v.ObserveAt(hb, v.lastTick) }

// ObserveAt is Observe for a heartbeat that arrived at a given time.
func (v *View) ObserveAt(hb Heartbeat, now time.Time) {
	p, ok := v.peers[hb.Host]
	if !ok {
		p = &peer{}
		v.peers[hb.Host] = p
	}
	if ok && p.heartbeat.Incarnation == hb.Incarnation && p.heartbeat.Sequence == hb.Sequence {
		return
	}
	p.heartbeat, p.changedAt, p.heardAt = hb, v.watchedTime, now
	if !v.Heard(hb.Host, hb.Incarnation) {
		heard := append(v.heard[hb.Host], hb.Incarnation)
		v.heard[hb.Host] = heard[max(len(heard)-maxHeard, 0):]
	}
}

// HeardAt returns when the heartbeat of a process last changed, by this process's clock; zero if there is none.
func (v *View) HeardAt(host string) time.Time {
	if p, ok := v.peers[host]; ok {
		return p.heardAt
	}
	return time.Time{}
}

// Heard reports whether a heartbeat of an incarnation of a process was observed, lately or not. One that was not heard may
// have started just now.
func (v *View) Heard(host, incarnation string) bool {
	return slices.Contains(v.heard[host], incarnation)
}

// Forget drops a process that removed its heartbeat.
func (v *View) Forget(host string) { delete(v.peers, host) }

// Alive reports whether an incarnation of a process is alive or may be: a process without any heartbeat counts as dead
// only after the peer timeout of watched time.
func (v *View) Alive(host, incarnation string) bool {
	p, ok := v.peers[host]
	if !ok {
		return v.watchedTime < v.peerTimeout
	}
	return p.heartbeat.Incarnation == incarnation && v.fresh(p)
}

func (v *View) fresh(p *peer) bool { return v.watchedTime-p.changedAt < v.peerTimeout }

// Live returns the last heartbeats of the live processes, ordered by host.
func (v *View) Live() []Heartbeat { return v.SeenWithin(v.peerTimeout) }

// SeenWithin returns the last heartbeats that changed within d of watched time, ordered by host.
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

// All returns the last heartbeat of every process, ordered by host.
func (v *View) All() []Heartbeat {
	var list []Heartbeat
	for _, name := range slices.Sorted(maps.Keys(v.peers)) {
		list = append(list, v.peers[name].heartbeat)
	}
	return list
}
