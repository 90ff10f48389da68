package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/radishshelf/radishshelf/platform/platformtest"
)

// Size of the load and its timeouts.
const (
	plainCallers = 4
	trainers     = 2
	itemsPerJob  = 16
	// longTextTrainer is the trainer whose items are all long, with longTextEvents events each.
	longTextTrainer = 1
	longTextEvents  = 60
	// callTimeout bounds each call to a gateway.
	callTimeout = 3 * time.Second
	// maxSubmitAttempts is how many times a trainer submits a job before it gives up.
	maxSubmitAttempts = 4
	// jobReadTimeout is how long a trainer reads the results of a job before it submits the next one. Remaining results
	// are read by waitForJobs.
	jobReadTimeout = 6 * time.Second
	// recoveryTimeout bounds the time from the last fault until every accepted job is complete.
	recoveryTimeout = 25 * time.Second
)

// sendPlainRequests sends plain requests until ctx ends. Half of them must not run twice, and half of them use keep-alive.
func (s *Soak) sendPlainRequests(ctx context.Context, r *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		atMostOnce := r.IntN(2) == 0
		path := platformtest.QuotePath
		if atMostOnce {
			path = platformtest.BillPath
		}
		id := fmt.Sprintf("call-%d-%d", r.Uint32(), n)
		s.checker.recordSend(id, atMostOnce)
		caller := platformtest.Caller{KeepAlive: r.IntN(2) == 0, Timeout: callTimeout}
		reply := caller.Do(http.MethodPost, s.pickProcess(r).address(), path+id, id, []byte("body of "+id))
		s.checker.checkReply(id, "body of "+id, reply)
		if reply.Status == http.StatusOK {
			s.served.Add(1)
		}
		sleep(ctx, time.Duration(10+r.IntN(60))*time.Millisecond)
	}
}

// runTrainer submits jobs one after the other until ctx ends and reads their results.
func (s *Soak) runTrainer(ctx context.Context, r *rand.Rand, trainer int) {
	for step := int64(0); ctx.Err() == nil; step++ {
		id := fmt.Sprintf("job-%d-%d", trainer, step)
		var items []string
		for i := range itemsPerJob {
			item := fmt.Sprintf("item-%d-%d-%d", trainer, step, i)
			if trainer == longTextTrainer {
				item = platformtest.LongItemID(item, longTextEvents)
			}
			items = append(items, item)
		}
		minVersion := max(s.version.Load()-1, 1)
		s.checker.recordJobSend(id, items, minVersion)
		if s.submitJob(r, id, platformtest.BatchBody(step, minVersion, items)) {
			s.readResults(ctx, r, id, time.Now().Add(jobReadTimeout))
		} else {
			s.checker.abandonJob(id)
		}
	}
}

// submitJob submits a job until it is accepted, and returns false after maxSubmitAttempts.
func (s *Soak) submitJob(r *rand.Rand, id string, body []byte) bool {
	for range maxSubmitAttempts {
		reply := platformtest.Caller{Timeout: callTimeout}.Do(http.MethodPost, s.pickProcess(r).address(),
			platformtest.RolloutPath+id, id, body)
		s.checker.recordSubmission(id, reply.Status)
		if reply.Status == http.StatusAccepted {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// readResults polls randomly chosen processes for the results of a job, occasionally from the first result again, and
// reports whether all results were read before the deadline.
func (s *Soak) readResults(ctx context.Context, r *rand.Rand, id string, deadline time.Time) bool {
	for time.Now().Before(deadline) && ctx.Err() == nil {
		after := s.checker.resultCount(id)
		if r.IntN(5) == 0 {
			after = 0
		}
		page, reply := platformtest.Caller{Timeout: callTimeout}.ReadResults(s.pickProcess(r).address(), id, after)
		if s.checker.checkPage(id, after, page, reply) {
			return true
		}
		sleep(ctx, 100*time.Millisecond)
	}
	return false
}

// waitForJobs reads every accepted job to its end and records a violation for each that is incomplete after
// recoveryTimeout.
func (s *Soak) waitForJobs() {
	deadline := time.Now().Add(recoveryTimeout)
	r := rand.New(rand.NewPCG(s.opts.Seed, 300))
	for _, id := range s.checker.incompleteJobs() {
		if !s.readResults(context.Background(), r, id, deadline) {
			s.history.recordViolation("job %s has only %d of %d results %s after the last fault",
				id, s.checker.resultCount(id), itemsPerJob, recoveryTimeout)
		}
	}
}
