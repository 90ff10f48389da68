package quickstart

import (
	"context"
	"fmt"
	"io"
	"time"
)

// step is a check. run returns a one-line summary.
type step struct {
	name string
	run  func(ctx context.Context, f *fleet) (string, error)
}

// stepTimeout bounds one step.
const stepTimeout = 25 * time.Second

// Check runs every step in order, prints their summaries to out and stops at the first failure.
func Check(ctx context.Context, dir string, out io.Writer) error {
	f, err := newFleet(dir)
	if err != nil {
		return err
	}
	for _, s := range steps() {
		if err := runStep(ctx, s, f, out); err != nil {
			return err
		}
	}
	return nil
}

func runStep(ctx context.Context, s step, f *fleet, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	start := time.Now()
	summary, err := s.run(ctx, f)
	if err != nil {
		return fmt.Errorf("step %q failed after %s: %w", s.name, time.Since(start).Round(time.Millisecond), err)
	}
	_, err = fmt.Fprintf(out, "%-18s %s took=%s\n", s.name, summary, time.Since(start).Round(time.Millisecond))
	return err
}

func steps() []step {
	return []step{
		{"requests", checkRequests},
		{"wrong-key", checkWrongKey},
		{"booking-once", checkBookingOnce},
		{"trace", checkTrace},
		{"lot-and-swap", checkLotAndSwap},
		{"withdraw-key", checkWithdrawKey},
		{"usage-window", checkUsageWindow},
		{"orderly-stop", checkGracefulStop},
		{"killed-engine", checkKilledEngine},
		{"entry-shutdown", checkEntryShutdown},
		{"keys-unseen", checkKeysUnseen},
	}
}

// poll calls check at an interval until it returns true without an error. When ctx is done first, poll returns the last error
// of check, or else that of ctx.
func poll(ctx context.Context, what string, check func() (bool, error)) error {
	const interval = 50 * time.Millisecond
	var lastErr error
	for {
		done, err := check()
		if done && err == nil {
			return nil
		}
		lastErr = err
		select {
		case <-ctx.Done():
			if lastErr != nil {
				return fmt.Errorf("waiting for %s: %w", what, lastErr)
			}
			return fmt.Errorf("waiting for %s: %w", what, ctx.Err())
		case <-time.After(interval):
		}
	}
}
