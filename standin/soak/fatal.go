package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/radishshelf/radishshelf/platform/platformtest"
)

const (
	// crashPath is the path of a request that ends each upstream which runs it.
	crashPath = platformtest.QuotePath + "fatal"
	// crashSendInterval is the mean time between two attempts of its caller.
	crashSendInterval = 600 * time.Millisecond
	// crashGrace is the time after the third end, without a disturbance, from which sends are counted, and lateSends how many of
	// them are allowed; both come from the platform's rules.
	crashGrace   = 4 * time.Second
	maxLateSends = 3
	// lateSendsPerProcess is how often the request comes again after the faults, at each process.
	lateSendsPerProcess = 6
	// leaveTimeout is the time after which every process has had an answer of an upstream that leaves, and the platform's bound
	// of 2.5 s is over as well.
	leaveTimeout = 5 * time.Second
	// maxRunsAfterLeave bounds the requests that reach such an upstream later than that, each a process's first that was not
	// answered yet; a process that starts sends several at once.
	maxRunsAfterLeave = 40
)

// sendCrashingRequests sends the same request again and again, at any process, also while the faults go on.
func (s *Soak) sendCrashingRequests(ctx context.Context, r *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		sleep(ctx, time.Duration(r.Int64N(int64(2*crashSendInterval))))
		s.sendCrashingRequest(s.pickProcess(r), fmt.Sprintf("fatal-%d", n))
	}
}

func (s *Soak) sendCrashingRequest(p *process, id string) {
	s.checker.recordSend(id, false)
	reply := platformtest.Caller{Timeout: callTimeout}.Do(http.MethodPost, p.address(), crashPath, id, []byte("the same each time"))
	if reply.Status == http.StatusOK {
		s.history.recordViolation("%s, which ends its upstreams, is answered 200", id)
	}
}

// checkCrashingRequest sends the request once more at every process after the last fault.
func (s *Soak) checkCrashingRequest() {
	if s.checker.crashRuns() < 3 {
		return
	}
	time.Sleep(crashGrace)
	before := s.checker.crashRuns()
	for n := range lateSendsPerProcess {
		for i, p := range s.processes {
			s.sendCrashingRequest(p, fmt.Sprintf("late-fatal-%d-%d", n, i))
			time.Sleep(50 * time.Millisecond)
		}
	}
	if late := s.checker.crashRuns() - before; late > maxLateSends {
		s.history.recordViolation("a request under which %d upstreams had ended reached %d more, %d are allowed", before, late, maxLateSends)
	}
}

// leaveUpstream makes an upstream say in its answers that it leaves, while its entry does not, and ends it after d.
func (s *Soak) leaveUpstream(r *rand.Rand, d time.Duration) {
	list := s.upstreams.plain()
	if len(list) < 2 {
		return
	}
	u := list[r.IntN(len(list))]
	s.checker.recordLeaving(u.ID, time.Now().Add(leaveTimeout))
	u.SetLeaving(true)
	time.Sleep(leaveTimeout + d)
	s.replace(u, 0, restartDelay)
}
