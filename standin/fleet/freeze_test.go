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

// takeoverTimeout bounds a takeover: lease duration, pause tolerance, rank-based delay and the successor's rounds.
const takeoverTimeout = 20 * time.Second

// holderFreezer freezes the holder of a role at the first matching call that reaches the platform.
type holderFreezer struct {
	f    *Fleet
	role string
	// matches selects the call at which the holder is frozen.
	matches func(path string, body []byte) bool

	mu     sync.Mutex
	armed  bool
	frozen *Entry
	term   int64
}

// onCall is the call hook of the platform.
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

// frozenHolder returns the frozen entry and its term, or nil if none is frozen yet.
func (z *holderFreezer) frozenHolder() (*Entry, int64) {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.frozen, z.term
}

// freezeHolder freezes the holder of a role at the next matching call and returns it with its term. callName describes the
// call in the failure message.
func (f *Fleet) freezeHolder(role, callName string, within time.Duration,
	matches func(path string, body []byte) bool) (*Entry, int64) {
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

// waitSuccessor waits until another entry holds the role with a higher term.
func (f *Fleet) waitSuccessor(role string, old *Entry, term int64) {
	f.t.Helper()
	Eventually(f.t, takeoverTimeout, "a successor of "+old.Name+" in role "+role, func() bool {
		e, now := f.RoleHolder(role)
		return e != nil && e != old && now > term
	})
}

// matchTableWrite matches table commits whose body contains key.
func matchTableWrite(key string) func(path string, body []byte) bool {
	return func(path string, body []byte) bool { return path == commitPath && bytes.Contains(body, []byte(key)) }
}

// Guards against a usage window that is reported with two different bodies, or by a former holder that was frozen while it
// closed, sealed or reported a window and has lost its lease since. The frozen holder has reported at most one of two
// workspaces, so it still has work to do when it is thawed.
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
	// A record that is counted twice appears within two more windows.
	time.Sleep(2 * usageWindowSeconds * time.Second)
	for workspace, want := range served {
		if got := f.ReportedUsage(workspace); got != *want {
			t.Errorf("reported %+v of workspace %s, served %+v", got, workspace, *want)
		}
	}
	f.checkSingleReporter()
}

// serveBothWorkspaces serves requests of both workspaces, starting at the beginning of a usage window.
func (f *Fleet) serveBothWorkspaces(e *Entry, keys map[string]string, served map[string]*Usage) {
	f.t.Helper()
	now := time.Now()
	time.Sleep(now.Truncate(usageWindowSeconds * time.Second).Add(usageWindowSeconds * time.Second).Sub(now))
	for workspace, key := range keys {
		f.serveChats(e, key, 3, served[workspace])
	}
}

// checkSingleReporter fails the test if the platform received two reports with the same id and different bodies, or a report
// with an older term after one with a newer term.
func (f *Fleet) checkSingleReporter() {
	f.t.Helper()
	bodies := map[string][]byte{}
	var highest ReceivedCall
	for _, r := range f.Platform.Reports() {
		if before, ok := bodies[r.ID]; ok && !bytes.Equal(before, r.Body) {
			f.t.Errorf("report %s was received with body %s and then with body %s", r.ID, before, r.Body)
		}
		bodies[r.ID] = r.Body
		if r.Term < highest.Term {
			f.t.Errorf("report %s of term %d was received at %s, after one of term %d at %s",
				r.ID, r.Term, r.ReceivedAt, highest.Term, highest.ReceivedAt)
		}
		if r.Term >= highest.Term {
			highest = r
		}
	}
}

// Guards against orders from two holders, an order that takes effect twice and an order that is lost, when the holder is
// frozen while it places an order and thawed after its successor has taken over.
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
	// Longer than a round of the thawed process, including its first read of the lease row.
	time.Sleep(3 * time.Second)
	f.checkSingleOrderer()
	if placed := f.Platform.Placements(); lost && placed[len(placed)-1].Term <= term {
		t.Errorf("the lost order was not placed again with a term above %d", term)
	}
}

// waitIntentsDone waits until every order intent is done, so that the successor has finished its predecessor's orders.
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

// checkSingleOrderer fails the test if the platform received an order with an older term after one with a newer term, or if
// two orders have the same data centre, kind and count.
func (f *Fleet) checkSingleOrderer() {
	f.t.Helper()
	var highest ReceivedCall
	for _, o := range f.Platform.Placements() {
		if o.Term < highest.Term {
			f.t.Errorf("order %s of term %d was received at %s, after %s of term %d at %s",
				o.ID, o.Term, o.ReceivedAt, highest.ID, highest.Term, highest.ReceivedAt)
		}
		if o.Term >= highest.Term {
			highest = o
		}
	}
	counts := map[string]int{}
	for _, o := range f.Platform.Memory.Orders.List() {
		key := fmt.Sprintf("%s/%s/%d", o.DataCentre, o.Kind, o.Count)
		if counts[key]++; counts[key] > 1 {
			f.t.Errorf("%s was ordered %d times", key, counts[key])
		}
	}
}
