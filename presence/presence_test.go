package presence

import (
	"testing"
	"time"
)

const peerTimeout = 2 * time.Second

// advance advances the view by d in steps of 100 ms.
func advance(v *View, now time.Time, d time.Duration, healthy bool) time.Time {
	for end := now.Add(d); now.Before(end); {
		now = now.Add(100 * time.Millisecond)
		v.Tick(now, healthy)
	}
	return now
}

// Guards against jobs being taken from live processes after an outage of the store, which stopped all heartbeats.
func TestStoreOutageMarksNobodyDead(t *testing.T) {
	v := NewView(peerTimeout)
	now := advance(v, time.Unix(100, 0), time.Second, true)
	v.Observe(Heartbeat{Host: "a", Incarnation: "1", Sequence: 1})
	now = advance(v, now, 10*time.Second, false)
	if !v.Alive("a", "1") {
		t.Error("dead after an outage in which no heartbeat could arrive")
	}
	advance(v, now, 2*peerTimeout, true)
	if v.Alive("a", "1") {
		t.Error("alive without heartbeats while the store responded")
	}
}

// Guards against the previous incarnation of a restarted process still counting as the owner of its jobs.
func TestNewIncarnationReplacesOld(t *testing.T) {
	v := NewView(peerTimeout)
	advance(v, time.Unix(100, 0), time.Second, true)
	v.Observe(Heartbeat{Host: "a", Incarnation: "1", Sequence: 9})
	v.Observe(Heartbeat{Host: "a", Incarnation: "2", Sequence: 1})
	if v.Alive("a", "1") || !v.Alive("a", "2") {
		t.Error("the old incarnation counts as alive, or the new one does not")
	}
}

// Guards against a process that was frozen itself and takes all others for dead when it resumes.
func TestFreezeOfWatcherMarksNobodyDead(t *testing.T) {
	v := NewView(peerTimeout)
	now := advance(v, time.Unix(100, 0), time.Second, true)
	v.Observe(Heartbeat{Host: "a", Incarnation: "1", Sequence: 1})
	v.Tick(now.Add(time.Minute), true)
	if !v.Alive("a", "1") {
		t.Error("dead after a freeze of the watcher")
	}
}

// Guards against a dead process that stays alive because the same heartbeat is read again.
func TestRepeatedHeartbeatDoesNotKeepProcessAlive(t *testing.T) {
	v := NewView(peerTimeout)
	now := advance(v, time.Unix(100, 0), time.Second, true)
	for range 10 {
		v.Observe(Heartbeat{Host: "a", Incarnation: "1", Sequence: 1})
		now = advance(v, now, peerTimeout/4, true)
	}
	if v.Alive("a", "1") || len(v.Live()) != 0 {
		t.Error("alive because of a repeated heartbeat")
	}
}

// Guards against a process that never sent a heartbeat blocking its jobs forever, or losing them before it could send
// one.
func TestProcessWithoutHeartbeat(t *testing.T) {
	v := NewView(peerTimeout)
	now := advance(v, time.Unix(100, 0), peerTimeout/2, true)
	if !v.Alive("x", "1") {
		t.Error("dead before a heartbeat could arrive")
	}
	advance(v, now, peerTimeout, true)
	if v.Alive("x", "1") {
		t.Error("alive without ever sending a heartbeat")
	}
}
