package configsync

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

const (
	testCallDelay = 100 * time.Millisecond
	// testTickOffset moves a test away from the ticks of Run, by which entries pull changes that were not pushed.
	testTickOffset = 300 * time.Millisecond
)

// Guards against a committed change that stops spreading when the caller who waits for it leaves.
func TestChangeSpreadsAfterCallerLeaves(t *testing.T) {
	for name, wait := range map[string]time.Duration{"during the push": testCallDelay / 2, "before the wait": 0} {
		t.Run(name, func(t *testing.T) {
			runWithNetwork(t, func(ctx context.Context, t *testing.T, w *network) {
				entries := startFleet(ctx, t, w)
				time.Sleep(testTickOffset)
				w.setCallDelay(testCallDelay)
				revision, err := w.write(ctx, "p")
				if err != nil {
					t.Fatal(err)
				}
				short, cancel := context.WithTimeout(ctx, wait)
				defer cancel()
				start := time.Now()
				entries[0].AwaitPropagation(short, revision)
				if waited := time.Since(start); waited > wait {
					t.Errorf("waited %s for a caller who left after %s", waited, wait)
				}
				time.Sleep(4 * testCallDelay)
				for n, s := range entries {
					if got := s.View().Revision(); got != revision {
						t.Errorf("entry %d has revision %d; want %d", n, got, revision)
					}
				}
			})
		})
	}
}

// Guards against a push that goes on after the process has stopped its loops.
func TestPushEndsWithRun(t *testing.T) {
	runWithNetwork(t, func(ctx context.Context, t *testing.T, w *network) {
		life, stop := context.WithCancel(ctx)
		defer stop()
		entries := startFleet(life, t, w)
		time.Sleep(testTickOffset)
		w.setCallDelay(testCallDelay)
		revision, err := w.write(ctx, "p")
		if err != nil {
			t.Fatal(err)
		}
		short, cancel := context.WithTimeout(ctx, testCallDelay/2)
		defer cancel()
		entries[0].AwaitPropagation(short, revision)
		stop()
		time.Sleep(4 * testCallDelay)
		for n, s := range entries[1:] {
			if got := s.View().Revision(); got == revision {
				t.Errorf("entry %d received revision %d after the end of Run", n+1, got)
			}
		}
	})
}

// Guards against a push that goes on without end because calls do not return.
func TestSpreadTimeIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{Name: "entry-0", PeerAddress: address(0)})
		caller, leave := context.WithCancel(t.Context())
		ctx, cancel := s.spreadContext(caller)
		defer cancel()
		start := time.Now()
		leave()
		<-ctx.Done()
		if took := time.Since(start); took != maxSpreadTime {
			t.Errorf("ended %s after the caller left; want %s", took, maxSpreadTime)
		}
	})
}
