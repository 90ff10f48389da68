package memory

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/radishshelf/radishshelf/hosting"
)

// LoseAllReplies is the value of Faults.LoseReplies that drops the reply to every write until the faults are replaced.
const LoseAllReplies = -1

// Faults are the injected faults of one service.
type Faults struct {
	// Outage makes every call fail with KindUnavailable before it takes effect.
	Outage bool
	// LoseReplies is the number of upcoming writes that take effect but fail with KindUnknown.
	LoseReplies int
	// Delay is the additional time before each call takes effect.
	Delay time.Duration
}

// FaultInjector holds and applies the faults of one service. Its methods may be called concurrently.
type FaultInjector struct {
	mu     sync.Mutex
	faults Faults
}

// Set replaces all faults.
func (i *FaultInjector) Set(f Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = f
}

// Get returns the current faults.
func (i *FaultInjector) Get() Faults {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults
}

// beforeCall applies the delay and the outage.
func (i *FaultInjector) beforeCall(ctx context.Context, op string) error {
	if err := sleep(ctx, i.Get().Delay); err != nil {
		return unavailable(op, err)
	}
	if i.Get().Outage {
		return unavailable(op, errors.New("the service is down"))
	}
	return nil
}

// afterWrite returns an error of KindUnknown if the reply to a write that took effect is to be lost.
func (i *FaultInjector) afterWrite(op string) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.faults.LoseReplies == 0 {
		return nil
	}
	if i.faults.LoseReplies > 0 {
		i.faults.LoseReplies--
	}
	return &hosting.Error{
		Kind: hosting.KindUnknown, Op: op, Err: errors.New("the reply was lost"),
		Remedy: "look the result up before repeating the call",
	}
}

// sleep waits for d, or returns the error of ctx if that ends first.
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
