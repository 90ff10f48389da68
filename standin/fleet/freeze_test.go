package fleet

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/roles"
	"github.com/radishshelf/radishshelf/standin/memory"
)

// takeoverTimeout bounds a takeover: lease, pause tolerance, delay by rank and the successor's rounds.
const takeoverTimeout = 20 * time.Second

// holderFreezer freezes the holder of a role when a call of it reaches the platform, once armed.
type holderFreezer struct {
	f    *Fleet
	role string
	// matches selects the call.
	matches func(path string, body []byte) bool

	mu     sync.Mutex
	armed  bool
	frozen *Entry
	term   int64
}

func (z *holderFreezer) onCall(path string, body []byte) {
	if !z.matches(path, body) {
		return
	}
	z.mu.Lock()
	defer z.mu.Unlock()
	if !z.armed {
		return
	}
	holder, term := z.f.RoleHolder(z.role)
	if holder == nil {
		return
	}
	z.armed = false
	holder.Freeze()
	z.frozen, z.term = holder, term
}

func (z *holderFreezer) frozenHolder() (*Entry, int64) {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.frozen, z.term
}

// freezeHolder freezes the holder of a role at the next matching call and returns it with its term.
func (f *Fleet) freezeHolder(role, callName string, within time.Duration, matches func(path string, body []byte) bool) (*Entry, int64) {
	f.t.Helper()
	z := &holderFreezer{f: f, role: role, matches: matches, armed: true}
	f.Platform.SetCallHook(z.onCall)
	Eventually(f.t, within, "a call of the holder of role "+role+": "+callName, func() bool {
		e, _ := z.frozenHolder()
		return e != nil
	})
	f.Platform.SetCallHook(nil)
	return z.frozenHolder()
}

// waitSuccessor waits until another entry holds the role under a higher term.
func (f *Fleet) waitSuccessor(role string, old *Entry, term int64) {
	f.t.Helper()
	Eventually(f.t, takeoverTimeout, "a successor of "+old.Name+" in role "+role, func() bool {
		e, now := f.RoleHolder(role)
		return e != nil && e != old && now > term
	})
}

func matchTableWrite(key string) func(path string, body []byte) bool {
	return func(path string, body []byte) bool { return path == commitPath && bytes.Contains(body, []byte(key)) }
}

// Guards against a window that is reported with two sets of figures, or by a holder that was replaced while it was
// frozen in the middle of closing, sealing or reporting. The frozen holder has reported one of two workspaces at most, so
// that it has work left when it is thawed.
func TestFrozenUsageHolder(t *testing.T) {
	t.Parallel()
	f := New(t, binaries, Options{Entries: []string{"sudur", "nordur", "austur"}, Engines: []string{"sudur"}})
	keys := map[string]string{Hraunvegur: f.GrantKey(Hraunvegur).Secret, Verband: f.GrantKey(Verband).Secret}
	served := map[string]*Usage{Hraunvegur: {}, Verband: {}}
	points := []struct {
		name    string
		matches func(path string, body []byte) bool
	}{
		{"close", matchTableWrite("usage/closing/")},
		{"seal", matchTableWrite("usage/sealed/")},
		{"report", func(path string, _ []byte) bool { return path == reportPath }},
	}
	for _, point := range points {
		f.serveBothWorkspaces(f.Entries[0], keys, served)
		holder, term := f.freezeHolder(roles.Usage, point.name, takeoverTimeout, point.matches)
		f.waitSuccessor(roles.Usage, holder, term)
		f.serveBothWorkspaces(f.OtherEntry(holder), keys, served)
		for workspace, want := range served {
			f.waitReported(workspace, *want)
		}
		holder.Thaw()
		f.WaitReady(holder.StatusAddress)
	}
	// Two more windows show whether a record is counted again.
	time.Sleep(2 * usageWindowSeconds * time.Second)
	for workspace, want := range served {
		if got := f.ReportedUsage(workspace); got != *want {
			t.Errorf("reported %+v of %s, served %+v", got, workspace, *want)
		}
	}
	f.checkSingleReporter()
}

// serveBothWorkspaces serves requests of both workspaces within one usage window.
func (f *Fleet) serveBothWorkspaces(e *Entry, keys map[string]string, served map[string]*Usage) {
	f.t.Helper()
	now := time.Now()
	time.Sleep(now.Truncate(usageWindowSeconds * time.Second).Add(usageWindowSeconds * time.Second).Sub(now))
	for workspace, key := range keys {
		f.serveChats(e, key, 3, served[workspace])
	}
}

// checkSingleReporter fails when the platform received a report with other figures than before, or one under an older
// term after one under a newer term.
func (f *Fleet) checkSingleReporter() {
	f.t.Helper()
	bodies := map[string][]byte{}
	var highest ReceivedCall
	for _, r := range f.Platform.Reports() {
		if before, ok := bodies[r.ID]; ok && !bytes.Equal(before, r.Body) {
			f.t.Errorf("window %s was reported as %s and as %s", r.ID, before, r.Body)
		}
		bodies[r.ID] = r.Body
		if r.Term < highest.Term {
			f.t.Errorf("report %s of term %d arrived at %s, after one of term %d at %s", r.ID, r.Term, r.ReceivedAt, highest.Term, highest.ReceivedAt)
		}
		if r.Term >= highest.Term {
			highest = r
		}
	}
}

// Guards against orders from two holders, an order that takes effect twice, or one that is lost, when the holder is
// frozen in the middle of an order and thawed after its successor has taken over.
func TestFrozenOrdersHolder(t *testing.T) {
	t.Parallel()
	for _, ignoreTerms := range []bool{false, true} {
		for _, lost := range []bool{false, true} {
			t.Run(fmt.Sprintf("terms ignored %v, order lost %v", ignoreTerms, lost), func(t *testing.T) {
				t.Parallel()
				testFrozenOrdersHolder(t, ignoreTerms, lost)
			})
		}
	}
}

func testFrozenOrdersHolder(t *testing.T, ignoreTerms, lost bool) {
	f := New(t, binaries, Options{Entries: []string{"sudur", "nordur"}, Engines: []string{"sudur"}, IgnoreTerms: ignoreTerms})
	f.SetMinUpstreams(2)
	holder, term := f.freezeHolder(roles.Orders, "place an order", 40*time.Second, func(path string, _ []byte) bool {
		if path != placePath {
			return false
		}
		f.Platform.Memory.Orders.Faults.Set(memory.Faults{Outage: lost})
		return true
	})
	f.waitSuccessor(roles.Orders, holder, term)
	f.Platform.Memory.Orders.Faults.Set(memory.Faults{})
	f.waitIntentsDone()
	holder.Thaw()
	f.WaitReady(holder.StatusAddress)
	// Longer than a round of the thawed process and its first read of the lease row.
	time.Sleep(3 * time.Second)
	f.checkSingleOrderer()
	if placed := f.Platform.Placements(); lost && placed[len(placed)-1].Term <= term {
		t.Errorf("the lost order was not placed under a term above %d", term)
	}
}

// waitIntentsDone waits until the successor has finished the orders of its predecessor.
func (f *Fleet) waitIntentsDone() {
	f.t.Helper()
	Eventually(f.t, takeoverTimeout, "every order intent is done", func() bool {
		rows, err := f.Platform.Memory.Table.Scan(f.t.Context(), "intent/orders/", "", 100)
		if err != nil || len(rows) == 0 {
			return false
		}
		for _, row := range rows {
			if !strings.Contains(string(row.Value), `"state":"done"`) {
				return false
			}
		}
		return true
	})
}

// checkSingleOrderer fails when an order under an older term reached the platform after one under a newer term, or a pool
// has two orders for the same need.
func (f *Fleet) checkSingleOrderer() {
	f.t.Helper()
	var highest ReceivedCall
	for _, o := range f.Platform.Placements() {
		if o.Term < highest.Term {
			f.t.Errorf("order %s of term %d arrived at %s, after %s of term %d at %s", o.ID, o.Term, o.ReceivedAt, highest.ID, highest.Term, highest.ReceivedAt)
		}
		if o.Term >= highest.Term {
			highest = o
		}
	}
	counts := map[string]int{}
	for _, o := range f.Platform.Memory.Orders.List() {
		key := fmt.Sprintf("%s/%s/%d", o.DataCentre, o.Kind, o.Count)
		if counts[key]++; counts[key] > 1 {
			f.t.Errorf("the need %s was ordered %d times", key, counts[key])
		}
	}
}
