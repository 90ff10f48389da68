package memory

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/radishshelf/radishshelf/hosting"
)

// LoseAllReplies as Faults.LoseReplies loses the reply of every write until the switch changes.
const LoseAllReplies = -1

// Faults are the faults of one service.
type Faults struct {
	// Outage refuses every call before it takes effect.
	Outage bool
	// LoseReplies is the number of coming writes that take effect and whose caller gets KindUnknown.
	LoseReplies int
	// Delay is added before each call takes effect.
	Delay time.Duration
}

// FaultInjector holds the faults of one service.
type FaultInjector struct {
	mu     sync.Mutex
	faults Faults
}

// Set replaces the faults.
func (s *FaultInjector) Set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Get returns the faults that are switched on.
func (s *FaultInjector) Get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// beforeCall applies delay and outage.
func (s *FaultInjector) beforeCall(ctx context.Context, op string) error {
	if err := sleep(ctx, s.Get().Delay); err != nil {
		return unavailable(op, err)
	}
	if s.Get().Outage {
		return unavailable(op, errors.New("the service is down"))
	}
	return nil
}

// afterWrite returns KindUnknown when the reply of a write is to be lost.
func (s *FaultInjector) afterWrite(op string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseReplies == 0 {
		return nil
	}
	if s.faults.LoseReplies > 0 {
		s.faults.LoseReplies--
	}
	return &hosting.Error{
		Kind: hosting.KindUnknown, Op: op, Err: errors.New("the reply was lost"),
		Remedy: "look the result up before repeating the call",
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func unavailable(op string, err error) error {
	return &hosting.Error{Kind: hosting.KindUnavailable, Op: op, Err: err, Remedy: "repeat the call later"}
}

func notFound(op, what string) error {
	return &hosting.Error{
		Kind: hosting.KindNotFound, Op: op, Err: errors.New(what + " does not exist"), Remedy: "check the name",
	}
}

func invalid(op, problem, remedy string) error {
	return &hosting.Error{Kind: hosting.KindInvalid, Op: op, Err: errors.New(problem), Remedy: remedy}
}
