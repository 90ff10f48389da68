package fleet

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/agent/engineapi"
	"github.com/radishshelf/radishshelf/standin/service"
	"github.com/radishshelf/radishshelf/standin/trainer"
)

const (
	// maxRounds limits the requests of one worker.
	maxRounds   = 400
	plainTokens = 64
	// streamTokens take 3 s, three times the readiness delay, so that every process is stopped while streams are open.
	streamTokens = 2400
)

// loadGenerator sends requests while the fleet changes and collects the results.
type loadGenerator struct {
	mu       sync.Mutex
	failures []string
	booked   []string
	groups   []string
	served   atomic.Int64
	workers  sync.WaitGroup
}

func (l *loadGenerator) recordFailure(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = append(l.failures, fmt.Sprintf(format, args...))
}

// startWorker calls send at every interval until stop closes, at most maxRounds times.
func (l *loadGenerator) startWorker(stop <-chan struct{}, interval time.Duration, send func(round int)) {
	l.workers.Go(func() {
		for round := range maxRounds {
			select {
			case <-stop:
				return
			case <-time.After(interval):
				send(round)
			}
		}
	})
}

func (l *loadGenerator) chat(ctx context.Context, b *Balancer, key string, round int, stream bool) {
	e, tokens := b.Pick(), plainTokens
	if stream {
		tokens = streamTokens
	}
	a, err := e.Chat(ctx, key, fmt.Sprintf("fare %d", round), tokens, stream)
	switch {
	case err != nil:
		l.recordFailure("chat stream=%v through %s at %s: %v", stream, e.Name, timestamp(), err)
	case a.Status != http.StatusOK:
		l.recordFailure("chat stream=%v through %s at %s: %v", stream, e.Name, timestamp(), a)
	case stream && !strings.Contains(string(a.Body), engineapi.DoneEvent):
		l.recordFailure("stream through %s at %s ended without its final event", e.Name, timestamp())
	default:
		l.served.Add(1)
	}
}

func (l *loadGenerator) book(ctx context.Context, b *Balancer, key, id string) {
	e := b.Pick()
	a, err := e.Book(ctx, key, id)
	if err != nil || a.Status != http.StatusCreated {
		l.recordFailure("booking %s through %s at %s: %v: %v", id, e.Name, timestamp(), a, err)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.booked = append(l.booked, id)
}

func (l *loadGenerator) group(ctx context.Context, b *Balancer, key, id string) {
	e := b.Pick()
	a, err := e.RunGroup(ctx, key, id, 4, 32)
	if err != nil || a.Status != http.StatusOK {
		l.recordFailure("group %s through %s at %s: %v: %v", id, e.Name, timestamp(), a, err)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.groups = append(l.groups, id)
}

func timestamp() string { return time.Now().UTC().Format("15:04:05.000") }

// Guards against a rolling restart of entries and agents that aborts requests, repeats bookings, or loses or duplicates
// samples.
func TestRollingRestartUnderLoad(t *testing.T) {
	t.Parallel()
	f := New(t, binaries, Options{
		Entries: []string{"sudur", "nordur"}, Engines: []string{"sudur", "nordur"}, Desks: 2, Trainer: true,
	})
	key := f.GrantKey(Hraunvegur).Secret
	b := NewBalancer(t, f)
	l := &loadGenerator{}
	stop := make(chan struct{})
	ctx := t.Context()
	for i := range 2 {
		l.startWorker(stop, 20*time.Millisecond, func(round int) { l.chat(ctx, b, key, round, false) })
		l.startWorker(stop, 20*time.Millisecond, func(round int) { l.chat(ctx, b, key, round, true) })
		l.startWorker(stop, 100*time.Millisecond, func(round int) { l.book(ctx, b, key, fmt.Sprintf("b-%d-%d", i, round)) })
	}
	l.startWorker(stop, 200*time.Millisecond, func(round int) { l.group(ctx, b, key, fmt.Sprintf("g-%d", round)) })
	for _, e := range f.Entries {
		f.Restart(e.Process, e.StatusAddress)
	}
	for _, u := range append(append([]*Upstream{}, f.Engines...), f.Desks...) {
		f.Restart(u.Agent, u.agentStatusAddress)
		for _, e := range f.Entries {
			f.waitUpstreams(e)
		}
	}
	close(stop)
	l.workers.Wait()
	for _, failure := range l.failures {
		t.Error(failure)
	}
	if l.served.Load() == 0 || len(l.booked) == 0 || len(l.groups) == 0 {
		t.Errorf("served %d chats, %d bookings and %d groups; want at least one of each",
			l.served.Load(), len(l.booked), len(l.groups))
	}
	f.checkBookings(l.booked)
	f.checkTrained(l.groups, 4)
}

// checkBookings fails the test unless each of the given bookings ran exactly once and no other ran more than once.
func (f *Fleet) checkBookings(booked []string) {
	f.t.Helper()
	ran := map[string]int{}
	for _, d := range f.Desks {
		var executions service.Executions
		ReadJSON(f.t, d.URL+"/admin/executions", &executions)
		for id, n := range executions.Bookings {
			ran[id] += n
		}
	}
	for id, n := range ran {
		if n > 1 {
			f.t.Errorf("booking %s ran %d times", id, n)
		}
	}
	for _, id := range booked {
		if ran[id] != 1 {
			f.t.Errorf("booking %s was confirmed, but ran %d times", id, ran[id])
		}
	}
}

// checkTrained fails the test unless every sample of the groups reaches the trainer exactly once.
func (f *Fleet) checkTrained(groups []string, size int) {
	f.t.Helper()
	want := map[string]bool{}
	for _, g := range groups {
		for i := range size {
			want[fmt.Sprintf("%s/%d", g, i)] = true
		}
	}
	missing := len(want)
	Eventually(f.t, 15*time.Second, "all acknowledged samples reach the trainer", func() bool {
		var got trainer.SamplesResponse
		ReadJSON(f.t, f.TrainerURL+"/admin/samples", &got)
		missing = len(want)
		for _, id := range got.IDs {
			if want[id] {
				missing--
			}
		}
		return missing == 0
	})
	var report trainer.Report
	ReadJSON(f.t, f.TrainerURL+"/admin/report", &report)
	if len(report.Duplicates) > 0 || len(report.ChangedLots) > 0 || len(report.VoidLots) > 0 {
		f.t.Errorf("duplicates %v, changed lots %v, void lots %v", report.Duplicates, report.ChangedLots, report.VoidLots)
	}
}
