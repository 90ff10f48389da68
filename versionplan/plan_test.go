package versionplan

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fleet is a simulated service whose upstreams complete each ordered load immediately.
type fleet struct {
	list    []Upstream
	loads   int
	planner *Planner
	now     time.Time
}

func newFleet(upstreams int, models ...string) *fleet {
	f := &fleet{planner: New(DefaultConfig()), now: time.Unix(1000, 0)}
	for i := range upstreams {
		u := Upstream{ID: fmt.Sprintf("u%02d", i), DataCentre: fmt.Sprintf("dc%d", i%3), Usable: true, Versions: map[string]int64{}}
		for _, m := range models {
			u.Versions[m] = 1
		}
		f.list = append(f.list, u)
	}
	return f
}

// runUntilIdle runs rounds of one second until no load is wanted, and returns the number of rounds with loads.
func (f *fleet) runUntilIdle(t testing.TB, demands []Demand) int {
	for round := range 100 {
		loads := f.planner.NextLoads(f.list, demands, f.now)
		if len(loads) == 0 {
			return round
		}
		for _, l := range loads {
			f.planner.Sent(l, f.now)
			f.planner.Accepted(l, f.now)
			f.completeLoad(l)
		}
		f.now = f.now.Add(time.Second)
	}
	t.Fatal("the planner still orders loads after 100 rounds")
	return 0
}

func (f *fleet) completeLoad(l Load) {
	f.loads++
	for i := range f.list {
		if f.list[i].ID == l.Upstream {
			f.list[i].Versions[l.Model] = l.Version
			f.list[i].Orders++
		}
	}
}

// countServing returns how many usable upstreams serve a model at a version or a newer one.
func (f *fleet) countServing(model string, version int64) int {
	n := 0
	for _, u := range f.list {
		if u.Usable && u.Versions[model] >= version {
			n++
		}
	}
	return n
}

// Guards against a step without upstreams that serve its version, and against more loads per version than one for each
// upstream of the even share, over a series of published versions.
func TestUpstreamsAlternateBetweenVersions(t *testing.T) {
	models := []string{"fares", "routes", "disputes"}
	f := newFleet(9, models...)
	for version := int64(2); version <= 12; version++ {
		var demands []Demand
		for _, m := range models {
			if got := f.countServing(m, version-1); got < 2 {
				t.Errorf("version %d of %s is published and %d upstreams serve the previous one", version, m, got)
			}
			demands = append(demands, Demand{Model: m, Newest: version, MinVersion: version - 1})
		}
		before := f.loads
		f.runUntilIdle(t, demands)
		if got := f.loads - before; got > 9 {
			t.Errorf("version %d took %d loads, want at most the 9 free ones", version, got)
		}
		f.now = f.now.Add(4 * time.Second)
	}
}

// Guards against more concurrent loads than the weight store can handle.
func TestConcurrentLoadLimit(t *testing.T) {
	for _, c := range []struct{ upstreams, want int }{{3, 2}, {9, 2}, {45, 9}} {
		f := newFleet(c.upstreams, "fares")
		loads := f.planner.NextLoads(f.list, []Demand{{Model: "fares", Newest: 3}}, f.now)
		if len(loads) != c.want {
			t.Errorf("%d upstreams: %d concurrent loads, want %d", c.upstreams, len(loads), c.want)
		}
	}
}

// Guards against a second order to an upstream whose first order is unanswered and may still be executed.
func TestUnansweredOrderBlocksUpstream(t *testing.T) {
	f := newFleet(1, "fares")
	demands := []Demand{{Model: "fares", Newest: 2}}
	loads := f.planner.NextLoads(f.list, demands, f.now)
	if len(loads) != 1 {
		t.Fatalf("%d orders, want 1", len(loads))
	}
	f.planner.Sent(loads[0], f.now)
	if again := f.planner.NextLoads(f.list, demands, f.now.Add(time.Second)); len(again) != 0 {
		t.Errorf("ordered again 1 s after an unanswered order: %v", again)
	}
	if again := f.planner.NextLoads(f.list, demands, f.now.Add(DefaultConfig().OrderTimeout)); len(again) != 1 {
		t.Errorf("not ordered again after the timeout: %v", again)
	}
}

// Guards against a model left with too few members, or with unusable ones, after upstreams fail.
func TestMembersAreUsable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(rapid.IntRange(3, 30).Draw(rt, "upstreams"), "a", "b", "c")
		for i := range f.list {
			f.list[i].Usable = rapid.IntRange(0, 3).Draw(rt, "alive") > 0
		}
		usable := 0
		for _, u := range f.list {
			if u.Usable {
				usable++
			}
		}
		for _, m := range []string{"a", "b", "c"} {
			members := Members(f.list, m, 3)
			if want := (usable + 1) / 2; len(members) != want {
				rt.Fatalf("%d members of %d usable upstreams, want %d", len(members), usable, want)
			}
			for _, u := range members {
				if !u.Usable {
					rt.Fatalf("member %s is not usable", u.ID)
				}
			}
		}
	})
}

// Guards against a model whose members all have limits although others have none, and against members that are exchanged
// for others, which would have to load first.
func TestLimitedMembersGetSubstitutes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(rapid.IntRange(3, 30).Draw(rt, "upstreams"), "a", "b", "c")
		before := Members(f.list, "a", 3)
		unlimited := 0
		for i := range f.list {
			if f.list[i].Limited = rapid.Bool().Draw(rt, "limited"); !f.list[i].Limited {
				unlimited++
			}
		}
		members := Members(f.list, "a", 3)
		limited := 0
		for i, u := range members {
			if i < len(before) && u.ID != before[i].ID {
				rt.Fatalf("member %s was replaced by %s", before[i].ID, u.ID)
			}
			if u.Limited {
				limited++
			}
		}
		if want := min(len(before), unlimited); len(members)-limited != want {
			rt.Fatalf("%d members without a limit beside %d with one, want %d", len(members)-limited, limited, want)
		}
	})
}

// Guards against a model that gets no loads because models earlier in the alphabet take all concurrent loads.
func TestNoModelStarves(t *testing.T) {
	models := []string{"a", "b", "c"}
	f := newFleet(45, models...)
	var demands []Demand
	for _, m := range models {
		demands = append(demands, Demand{Model: m, Newest: 3, MinVersion: 2})
	}
	loads := f.planner.NextLoads(f.list, demands, f.now)
	count := map[string]int{}
	for _, l := range loads {
		count[l.Model]++
	}
	for _, m := range models {
		if count[m] != len(loads)/len(models) {
			t.Errorf("model %s got %d of %d loads", m, count[m], len(loads))
		}
	}
}

// Guards against many upstreams two versions behind, which cannot run texts of the new step. One trainer uses all
// upstreams for one model and publishes a version every four seconds; a load takes one second and no more than two run
// at a time.
func TestFewUpstreamsAreTwoVersionsBehind(t *testing.T) {
	f := newFleet(11, "fares")
	worst := 0
	for version := int64(2); version <= 12; version++ {
		d := Demand{Model: "fares", Newest: version, MinVersion: version - 1}
		if behind := len(f.list) - f.countServing("fares", version-1); version > 4 {
			worst = max(worst, behind)
		}
		before := f.loads
		for range 4 {
			for _, l := range f.planner.NextLoads(f.list, []Demand{d}, f.now) {
				f.planner.Sent(l, f.now)
				f.planner.Accepted(l, f.now)
				f.completeLoad(l)
			}
			f.now = f.now.Add(time.Second)
		}
		if got := f.loads - before; got > len(f.list) {
			t.Errorf("version %d took %d loads, want at most the %d free ones", version, got, len(f.list))
		}
	}
	if worst > 3 {
		t.Errorf("%d of 11 upstreams are two versions behind when a version is published", worst)
	}
}

// Guards against too many loads at a time where each load waits for the running texts and so blocks its upstream for
// seconds.
func TestHalfLoadsWhenLoadsWaitForRunning(t *testing.T) {
	f := newFleet(11, "fares")
	f.runUntilIdle(t, []Demand{{Model: "fares", Newest: 2, MinVersion: 1, WaitsForRunning: true}})
	if f.loads != 6 {
		t.Errorf("%d of 11 upstreams loaded the version, want half of them (6)", f.loads)
	}
}

// Guards against a model that gets no load before its next version is published and then has no upstream for the next
// step. Loads are scarce because the versions of four models became known late and at once: three models have upstreams
// that are two versions behind, and all upstreams of the fourth serve the previous version.
func TestModelWithoutTheNewestVersionGetsLoads(t *testing.T) {
	models := []string{"a", "b", "c", "d"}
	f := newFleet(44, models...)
	var demands []Demand
	for _, m := range models {
		demands = append(demands, Demand{Model: m, Newest: 3, MinVersion: 2})
	}
	for _, u := range Members(f.list, "d", len(models)) {
		for i := range f.list {
			if f.list[i].ID == u.ID {
				f.list[i].Versions["d"] = 2
			}
		}
	}
	for range 3 {
		for _, l := range f.planner.NextLoads(f.list, demands, f.now) {
			f.planner.Sent(l, f.now)
			f.planner.Accepted(l, f.now)
			f.completeLoad(l)
		}
		f.now = f.now.Add(time.Second)
	}
	// An upstream with the newest version counts double in the coverage, so the fourth model gets half as many loads as
	// the others. The check requires only a third, because the counts are whole numbers.
	most := max(f.countServing("a", 3), f.countServing("b", 3), f.countServing("c", 3))
	if got := f.countServing("d", 3); 3*got < most {
		t.Errorf("after three seconds of loads %d upstreams serve the newest version of d, %d that of another model", got, most)
	}
}

// Guards against upstreams that never get an order again although they answer, because others that seem to have failed, too,
// and do not answer are tried instead of them.
func TestUnusableUpstreamsThatAnswerLoadAgain(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(rapid.IntRange(1, 30).Draw(rt, "upstreams"), "a", "b")
		answers := map[string]bool{}
		for i, u := range f.list {
			f.list[i].Usable = rapid.Bool().Draw(rt, "usable")
			answers[u.ID] = f.list[i].Usable || rapid.Bool().Draw(rt, "answers")
		}
		demands := []Demand{{Model: "a", Newest: 5, MinVersion: 4}, {Model: "b", Newest: 5, MinVersion: 4}}
		expected := map[string]bool{}
		for _, d := range demands {
			for _, u := range unusableMembers(f.list, d.Model, len(demands)) {
				if answers[u.ID] {
					expected[u.ID] = true
				}
			}
		}
		maxLoads := max(f.planner.cfg.MinConcurrentLoads, len(f.list)/f.planner.cfg.UpstreamsPerLoad)
		for end := f.now.Add(20 * time.Second); f.now.Before(end); f.now = f.now.Add(100 * time.Millisecond) {
			for _, l := range f.planner.NextLoads(f.list, demands, f.now) {
				f.planner.Sent(l, f.now)
				if !answers[l.Upstream] {
					continue
				}
				f.planner.Accepted(l, f.now)
				f.completeLoad(l)
				for i := range f.list {
					f.list[i].Usable = f.list[i].Usable || f.list[i].ID == l.Upstream
				}
				delete(expected, l.Upstream)
			}
			if n := f.planner.Loading(f.now); n > 2*maxLoads {
				rt.Fatalf("%d loads at the same time, want at most %d and as many accepted trials", n, maxLoads)
			}
		}
		if len(expected) > 0 {
			rt.Fatalf("no order in 20 s for %d upstreams that answer", len(expected))
		}
	})
}
