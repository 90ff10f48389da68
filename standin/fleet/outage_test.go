package fleet

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/standin/service"
	"github.com/radishshelf/radishshelf/standin/trainer"
)

const (
	outageDuration = 15 * time.Second
	// withdrawTimeout is the documented time within which a withdrawn key stops working.
	withdrawTimeout = 5 * time.Second
)

// Guards against a table outage that stops keyed requests, runs a booking without its claim, acknowledges a key withdrawal
// that has not taken effect, or loses or duplicates the samples of rollout groups sent during the outage.
func TestTableOutage(t *testing.T) {
	t.Parallel()
	f := New(t, binaries, Options{
		Entries: []string{"sudur", "nordur"}, Engines: []string{"sudur", "nordur"}, Desks: 1, Trainer: true,
	})
	key, withdrawn := f.GrantKey(Hraunvegur).Secret, f.GrantKey(Verband)
	f.Platform.SetOutage(true)
	end := time.Now().Add(outageDuration)
	var groups groupResults
	var background sync.WaitGroup
	background.Go(func() { f.sendGroups(key, end, &groups) })
	var accepted atomic.Bool
	background.Go(func() {
		result, err := f.Operator(0).WithdrawKey(t.Context(), withdrawn.ID)
		accepted.Store(err == nil && result.Accepted && time.Now().Before(end))
	})
	if a, err := f.Entries[0].Book(t.Context(), key, "during-outage"); err != nil || !a.NotRun() {
		t.Errorf("booking whose claim cannot be written: got %v: %v; want a refusal as not run", a, err)
	}
	f.checkNotBooked("during-outage")
	served := 0
	for i := 0; time.Now().Before(end); i++ {
		e := f.Entries[i%2]
		if a, err := e.Chat(t.Context(), key, fmt.Sprintf("fare %d", i), 8, false); err != nil || a.Status != http.StatusOK {
			t.Errorf("chat through %s at %s: %v: %v", e.Name, timestamp(), a, err)
		}
		served++
		time.Sleep(50 * time.Millisecond)
	}
	f.Platform.SetOutage(false)
	background.Wait()
	if accepted.Load() {
		t.Error("a key withdrawal was accepted during the table outage")
	}
	f.checkWithdrawal(withdrawn.ID, withdrawn.Secret)
	f.checkGroups(&groups)
	t.Logf("served %d chats during the outage, %d groups acknowledged, %d refused as not run, %d with unknown outcome",
		served, len(groups.acknowledged), len(groups.notRun), len(groups.unknown))
}

// checkNotBooked fails the test if a booking ran.
func (f *Fleet) checkNotBooked(id string) {
	f.t.Helper()
	for _, d := range f.Desks {
		var executions service.Executions
		ReadJSON(f.t, d.URL+"/admin/executions", &executions)
		if n := executions.Bookings[id]; n > 0 {
			f.t.Errorf("booking %s ran %d times at %s", id, n, d.Name)
		}
	}
}

// groupResults collects group ids by the outcome that the caller received.
type groupResults struct {
	mu                            sync.Mutex
	acknowledged, notRun, unknown []string
}

func (g *groupResults) add(id string, a Response, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case err == nil && a.Status == http.StatusOK:
		g.acknowledged = append(g.acknowledged, id)
	case err == nil && a.NotRun():
		g.notRun = append(g.notRun, id)
	default:
		g.unknown = append(g.unknown, id+": "+a.String())
	}
}

// sendGroups starts one group a second without waiting for earlier ones, and returns when all have ended.
func (f *Fleet) sendGroups(key string, until time.Time, results *groupResults) {
	ctx, cancel := context.WithTimeout(f.t.Context(), 2*outageDuration)
	defer cancel()
	var sent sync.WaitGroup
	for i := 0; time.Now().Before(until); i++ {
		id := fmt.Sprintf("outage-%d", i)
		sent.Go(func() {
			a, err := f.Entries[i%2].RunGroup(ctx, key, id, 4, 16)
			results.add(id, a, err)
		})
		time.Sleep(time.Second)
	}
	sent.Wait()
}

// checkWithdrawal withdraws a key through the first entry and checks that every entry refuses it within withdrawTimeout.
func (f *Fleet) checkWithdrawal(id, secret string) {
	f.t.Helper()
	start := time.Now()
	go func() { _, _ = f.Operator(0).WithdrawKey(f.t.Context(), id) }()
	for _, e := range f.Entries {
		Eventually(f.t, withdrawTimeout-time.Since(start), "the withdrawn key is refused by "+e.Name, func() bool {
			a, err := e.Chat(f.t.Context(), secret, "fare", 4, false)
			return err == nil && a.Status == http.StatusUnauthorized
		})
	}
}

// checkGroups fails the test unless each acknowledged group reaches the trainer exactly once and each group refused as not
// run never does. Any other outcome is a failure.
func (f *Fleet) checkGroups(groups *groupResults) {
	f.t.Helper()
	for _, result := range groups.unknown {
		f.t.Errorf("group neither acknowledged nor refused as not run: %s", result)
	}
	f.checkTrained(groups.acknowledged, 4)
	var got trainer.SamplesResponse
	ReadJSON(f.t, f.TrainerURL+"/admin/samples", &got)
	trained := map[string]bool{}
	for _, id := range got.IDs {
		trained[id] = true
	}
	for _, id := range groups.notRun {
		for i := range 4 {
			if sample := fmt.Sprintf("%s/%d", id, i); trained[sample] {
				f.t.Errorf("sample %s of a group that was refused as not run reached the trainer", sample)
			}
		}
	}
}
