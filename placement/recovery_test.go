package placement_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/radishshelf/radishshelf/placement"
	"github.com/radishshelf/radishshelf/upstreamhealth"
	"github.com/radishshelf/radishshelf/versionplan"
)

const (
	// recoveryBound is when each text must run: the platform allows 6 s after a version was named, and an item that waits
	// longer than 5 s beside free slots counts as lost.
	recoveryBound = 11 * time.Second
	// recoveryTick is the time between two passes of the scheduler.
	recoveryTick = 50 * time.Millisecond
	// recoveryLoad is how long an engine takes to load a version, and recoveryStart the time to the first event of a run
	// without its pace.
	recoveryLoad  = 900 * time.Millisecond
	recoveryStart = 100 * time.Millisecond
	// maxObservedGap is the largest time between two events that counts as a pace.
	maxObservedGap = 500 * time.Millisecond
	recoveryModel  = "m"
)

// recoveringEngine is a sound engine about which its host holds wrong beliefs.
type recoveringEngine struct {
	id      string
	slots   int
	health  upstreamhealth.Health
	version int64
	orders  int64
	// loading is the version that it loads until loadedAt; 0 for none.
	loading  int64
	loadedAt time.Time
	runs     []*recoveringRun
}

// recoveringRun is a text that is generated without end.
type recoveringRun struct {
	attempt   *upstreamhealth.Attempt
	nextEvent time.Time
	responded bool
}

// recoveringFleet is the engines of one model, and the texts that wait at one host. Nothing in it fails.
type recoveringFleet struct {
	now     time.Time
	pace    time.Duration
	engines []*recoveringEngine
	waiting []placement.Requirements
	planner *versionplan.Planner
	newest  int64
}

// Guards against beliefs about upstreams that only work there can clear, and that keep this work away: whatever a host
// believes of a fleet, texts that wait run within a bound once all engines are sound, also if all texts are long, no run ends,
// or all versions are too old.
func TestWaitingTextsRunOnceEnginesAreSound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := drawRecoveringFleet(rt)
		for end := f.now.Add(recoveryBound); f.now.Before(end); f.now = f.now.Add(recoveryTick) {
			f.completeLoads()
			f.generate()
			f.orderLoads()
			f.place()
		}
		if n := len(f.waiting); n > 0 {
			rt.Fatalf("%d texts have waited for %s beside free slots: %s", n, recoveryBound, f)
		}
	})
}

// drawRecoveringFleet draws a fleet with any beliefs, and texts for fewer than half of the slots.
func drawRecoveringFleet(rt *rapid.T) *recoveringFleet {
	f := &recoveringFleet{
		now: time.Unix(1000, 0), pace: time.Duration(rapid.IntRange(20, 700).Draw(rt, "pace")) * time.Millisecond,
		planner: versionplan.New(versionplan.DefaultConfig()), newest: 9,
	}
	slots, sound := rapid.IntRange(2, 8).Draw(rt, "slots"), rapid.IntRange(0, 3).Draw(rt, "sound")
	h := history{
		slow: rapid.Bool().Draw(rt, "slow"), failed: rapid.Bool().Draw(rt, "failed"), busy: rapid.Bool().Draw(rt, "busy"),
		behind: rapid.Bool().Draw(rt, "behind"), running: rapid.Bool().Draw(rt, "running"),
	}
	for i := range rapid.IntRange(1, 10).Draw(rt, "engines") {
		e := &recoveringEngine{id: fmt.Sprintf("e%02d", i), slots: slots, version: f.newest}
		f.engines = append(f.engines, e)
		if i < sound {
			e.observe(min(f.pace, maxObservedGap), f.now)
			continue
		}
		f.drawHistory(rt, e, h)
	}
	allLong := rapid.Bool().Draw(rt, "all long")
	running := 0
	for _, e := range f.engines {
		running += len(e.runs)
	}
	for range max(slots*len(f.engines)/2-running, 0) {
		f.waiting = append(f.waiting, placement.Requirements{
			MinVersion: f.newest - 1, Newest: f.newest, Long: allLong || rapid.Bool().Draw(rt, "long"),
		})
	}
	return f
}

// history says what may have happened at the engines of a fleet before.
type history struct{ slow, failed, busy, behind, running bool }

// drawHistory draws what the host has seen of an engine: a pace, runs that go on, failures and refusals.
func (f *recoveringFleet) drawHistory(rt *rapid.T, e *recoveringEngine, h history) {
	upTo := func(most int, allowed bool, label string) int {
		if !allowed {
			return 0
		}
		return rapid.IntRange(0, most).Draw(rt, label)
	}
	ago := func(most int, label string) time.Time {
		return f.now.Add(-time.Duration(rapid.IntRange(0, most).Draw(rt, label)) * time.Millisecond)
	}
	e.version -= int64(upTo(4, h.behind, "versions behind"))
	if h.slow {
		slower := time.Duration(rapid.IntRange(1, 6).Draw(rt, "slower"))
		seconds := rapid.SampledFrom([]time.Duration{0, 1, 3, 9, 12, 30}).Draw(rt, "seconds since it was observed")
		e.observe(min(slower*f.pace, maxObservedGap), f.now.Add(-seconds*time.Second))
	}
	if h.running {
		for range rapid.IntRange(1, max(e.slots/2, 1)).Draw(rt, "runs") {
			e.runs = append(e.runs, &recoveringRun{attempt: e.health.Begin(), nextEvent: f.now.Add(f.pace), responded: true})
		}
	}
	last := ago(3000, "failed ago")
	for i := range upTo(6, h.failed, "failures") {
		e.health.RecordFailure(last.Add(-time.Duration(6-i) * 200 * time.Millisecond))
	}
	for range upTo(3, h.busy, "refusals") {
		e.health.RecordBusy(recoveryModel, 200*time.Millisecond, ago(1000, "refused ago"))
	}
}

// observe records enough events for a pace.
func (e *recoveringEngine) observe(pace time.Duration, at time.Time) {
	for range 10 {
		e.health.ObservePace(pace, at)
	}
}

func (f *recoveringFleet) completeLoads() {
	for _, e := range f.engines {
		if e.loading > 0 && !f.now.Before(e.loadedAt) {
			e.version, e.loading = e.loading, 0
			e.health.ClearBusy(recoveryModel)
		}
	}
}

// generate lets each run generate the events that are due.
func (f *recoveringFleet) generate() {
	for _, e := range f.engines {
		for _, r := range e.runs {
			for ; !r.nextEvent.After(f.now); r.nextEvent = r.nextEvent.Add(f.pace) {
				if r.responded && f.pace < maxObservedGap {
					e.health.ObservePace(f.pace, r.nextEvent)
				}
				r.attempt.Responding()
				r.responded = true
			}
		}
	}
}

// orderLoads sends the orders that are due; each is accepted at once.
func (f *recoveringFleet) orderLoads() {
	var list []versionplan.Upstream
	for _, e := range f.engines {
		list = append(list, versionplan.Upstream{
			ID: e.id, Usable: e.health.AnswersControlCalls(), Running: len(e.runs), Orders: e.orders,
			Versions: map[string]int64{recoveryModel: e.version},
		})
	}
	demands := []versionplan.Demand{{Model: recoveryModel, Newest: f.newest, MinVersion: f.newest - 1}}
	for _, l := range f.planner.NextLoads(list, demands, f.now) {
		f.planner.Sent(l, f.now)
		for _, e := range f.engines {
			if e.id == l.Upstream {
				e.orders++
				e.loading, e.loadedAt = l.Version, f.now.Add(recoveryLoad)
				e.health.RecordControlAnswer(f.now)
				f.planner.Accepted(l, f.now)
			}
		}
	}
}

// place makes a pass over the waiting texts. An engine that loads a version refuses them.
func (f *recoveringFleet) place() {
	var list []placement.Engine
	for _, e := range f.engines {
		list = append(list, placement.Engine{
			ID: e.id, Slots: e.slots, OwnRequests: len(e.runs), Version: e.version, Pace: e.health.Pace(f.now),
			LastPace: e.health.LastPace(), PaceAge: e.health.PaceAge(f.now), ProbesLeft: e.health.Allowance(f.now),
			Excluded: e.health.IsBusy(recoveryModel, f.now),
		})
	}
	selector := placement.NewSelector(list)
	var waiting []placement.Requirements
	for _, text := range f.waiting {
		id, ok := selector.Pick(text)
		if !ok || !f.start(id) {
			waiting = append(waiting, text)
		}
	}
	f.waiting = waiting
}

// start sends a text to an engine. It returns false if the engine refuses it.
func (f *recoveringFleet) start(id string) bool {
	for _, e := range f.engines {
		if e.id != id {
			continue
		}
		attempt := e.health.Begin()
		if e.loading > 0 {
			attempt.End()
			e.health.RecordBusy(recoveryModel, 200*time.Millisecond, f.now)
			e.health.RecordSuccess()
			return false
		}
		e.runs = append(e.runs, &recoveringRun{attempt: attempt, nextEvent: f.now.Add(recoveryStart + f.pace)})
		return true
	}
	return false
}

func (f *recoveringFleet) String() string {
	text := ""
	for _, e := range f.engines {
		text += fmt.Sprintf("%s at version %d of %d with %d of %d slots in use, suspect %t; ",
			e.id, e.version, f.newest, len(e.runs), e.slots, e.health.Suspect())
	}
	return text
}
