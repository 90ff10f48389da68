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
	// fatalPath is the path of a request that ends each upstream which runs it.
	fatalPath = platformtest.QuotePath + "fatal"
	// fatalPause is the mean time between two attempts of its caller.
	fatalPause = 600 * time.Millisecond
	// contact is the time after the third end, without a disturbance, from which sends are counted, and lateSends how many of
	// them are allowed; both come from the platform's rules.
	contact   = 4 * time.Second
	lateSends = 3
	// lateAttempts is how often the request comes again after the faults, at each process.
	lateAttempts = 6
	// leaveHeeded is the time after which every process has had an answer of an upstream that leaves, and the platform's bound
	// of 2.5 s is over as well.
	leaveHeeded = 5 * time.Second
	// maxLateRuns bounds the requests that reach such an upstream later than that, each a process's first that was not
	// answered yet; a process that starts sends several at once.
	maxLateRuns = 40
)

// callFatal sends the same request again and again, at any process, also while the faults go on.
func (s *Soak) callFatal(ctx context.Context, r *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		pause(ctx, time.Duration(r.Int64N(int64(2*fatalPause))))
		s.sendFatal(s.pick(r), fmt.Sprintf("fatal-%d", n))
	}
}

func (s *Soak) sendFatal(p *process, id string) {
	s.check.send(id, false)
	reply := platformtest.Caller{Timeout: callTimeout}.Do(http.MethodPost, p.address(), fatalPath, id, []byte("the same each time"))
	if reply.Status == http.StatusOK {
		s.h.violate("%s, which ends its upstreams, is answered 200", id)
	}
}

// checkFatal sends the request once more at every process after the last fault.
func (s *Soak) checkFatal() {
	if s.check.fatalRuns() < 3 {
		return
	}
	time.Sleep(contact)
	before := s.check.fatalRuns()
	for n := range lateAttempts {
		for i, p := range s.processes {
			s.sendFatal(p, fmt.Sprintf("late-fatal-%d-%d", n, i))
			time.Sleep(50 * time.Millisecond)
		}
	}
	if late := s.check.fatalRuns() - before; late > lateSends {
		s.h.violate("a request under which %d upstreams had ended reached %d more, %d are allowed", before, late, lateSends)
	}
}

// leave makes an upstream say in its answers that it leaves, while its entry does not, and ends it after d.
func (s *Soak) leave(r *rand.Rand, d time.Duration) {
	list := s.upstreams.plain()
	if len(list) < 2 {
		return
	}
	u := list[r.IntN(len(list))]
	s.check.leaves(u.ID, time.Now().Add(leaveHeeded))
	u.SetLeaving(true)
	time.Sleep(leaveHeeded + d)
	s.replace(u, 0, restartAfter)
}
