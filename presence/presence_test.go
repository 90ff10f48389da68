package presence

import (
	"testing"
	"time"
)

const deadAfter = 2 * time.Second

// advance lets time pass in steps of 100 ms.
func advance(v *View, now time.Time, d time.Duration, healthy bool) time.Time {
	for end := now.Add(d); now.Before(end); {
		now = now.Add(100 * time.Millisecond)
		v.Tick(now, healthy)
	}
	return now
}

// Guards against jobs that are taken from live processes after an outage of the store, which silenced all heartbeats.
func TestStoreOutageMarksNobodyDead(t *testing.T) {
	v := NewView(deadAfter)
	now := advance(v, time.Unix(100, 0), time.Second, true)
	v.Observe(Heartbeat{Host: "a", Incarnation: "1", Sequence: 1})
	now = advance(v, now, 10*time.Second, false)
	if !v.Alive("a", "1") {
		t.Error("dead after an outage in which nobody could be heard")
	}
	advance(v, now, 2*deadAfter, true)
	if v.Alive("a", "1") {
		t.Error("alive although silent while the store answered")
	}
}

// Guards against a restarted process whose former incarnation is still taken for the owner of its jobs.
func TestNewIncarnationReplacesOld(t *testing.T) {
	v := NewView(deadAfter)
	advance(v, time.Unix(100, 0), time.Second, true)
	v.Observe(Heartbeat{Host: "a", Incarnation: "1", Sequence: 9})
	v.Observe(Heartbeat{Host: "a", Incarnation: "2", Sequence: 1})
	if v.Alive("a", "1") || !v.Alive("a", "2") {
		t.Error("the old incarnation counts")
	}
}

// Guards against a process that slept itself and takes everybody else for dead when it wakes.
func TestFreezeOfWatcherMarksNobodyDead(t *testing.T) {
	v := NewView(deadAfter)
	now := advance(v, time.Unix(100, 0), time.Second, true)
	v.Observe(Heartbeat{Host: "a", Incarnation: "1", Sequence: 1})
	v.Tick(now.Add(time.Minute), true)
	if !v.Alive("a", "1") {
		t.Error("dead after a freeze of the watcher")
	}
}

// Guards against the same heartbeat, read again, that keeps a dead process alive.
func TestRepeatedHeartbeatDoesNotKeepProcessAlive(t *testing.T) {
	v := NewView(deadAfter)
	now := advance(v, time.Unix(100, 0), time.Second, true)
	for range 10 {
		v.Observe(Heartbeat{Host: "a", Incarnation: "1", Sequence: 1})
		now = advance(v, now, deadAfter/4, true)
	}
	if v.Alive("a", "1") || len(v.Live()) != 0 {
		t.Error("alive by repeats of one heartbeat")
	}
}

// Guards against a process nobody ever heard of that blocks its jobs for ever, or loses them before it could be heard.
func TestUnknownProcess(t *testing.T) {
	v := NewView(deadAfter)
	now := advance(v, time.Unix(100, 0), deadAfter/2, true)
	if !v.Alive("x", "1") {
		t.Error("dead before it could be heard")
	}
	advance(v, now, deadAfter, true)
	if v.Alive("x", "1") {
		t.Error("alive although never heard")
	}
}
