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
	// crashPath is the path of a request that crashes every upstream that runs it.
	crashPath = platformtest.QuotePath + "fatal"
	// crashSendInterval is the mean time between two sends of that request.
	crashSendInterval = 600 * time.Millisecond
	// crashGrace is the time after the third crash, without other faults, after which sends are counted. maxLateSends is the
	// number of sends allowed from then on. The platform's rules set both.
	crashGrace   = 4 * time.Second
	maxLateSends = 3
	// lateSendsPerProcess is how many times the request is sent to each process after the faults.
	lateSendsPerProcess = 6
	// leaveTimeout is the time within which every process has received a response from a leaving upstream. It exceeds the
	// platform's limit of 2.5 s.
	leaveTimeout = 5 * time.Second
	// maxRunsAfterLeave bounds the requests that reach a leaving upstream after leaveTimeout. They come from processes that
	// have no response from it yet; a process that starts sends several requests at once.
	maxRunsAfterLeave = 40
)

// sendCrashingRequests repeatedly sends the crashing request to random processes until ctx ends.
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
		s.history.recordViolation("request %s, which crashes its upstreams, got status 200", id)
	}
}

// checkCrashingRequest checks that a request under which at least three upstreams crashed is refused after the faults: it
// sends the request lateSendsPerProcess times to every process and counts the sends that reach an upstream.
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
		s.history.recordViolation("a request that crashed %d upstreams reached %d more; at most %d are allowed", before, late, maxLateSends)
	}
}

// leaveUpstream makes a plain upstream announce in its responses, but not in its entry, that it leaves. It stops the
// upstream after leaveTimeout and d.
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
