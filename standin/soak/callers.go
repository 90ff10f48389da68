package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/radishshelf/radishshelf/platform/platformtest"
)

// Load of a run.
const (
	plainCallers = 4
	trainers     = 2
	// itemsPerJob is the size of a job.
	itemsPerJob = 16
	// callTimeout is what callers wait for an answer.
	callTimeout = 3 * time.Second
	// maxSubmitAttempts is how often a job is handed in.
	maxSubmitAttempts = 4
	// jobReadTimeout is how long a trainer reads a job before it goes on to the next; the rest is read in the recovery.
	jobReadTimeout = 6 * time.Second
	// recoveryTimeout bounds the time after the last fault until every accepted job is complete.
	recoveryTimeout = 25 * time.Second
)

// sendPlainRequests sends plain requests, half of which must not run twice, on kept and on new connections.
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

// runTrainer hands in one job after the other and reads its results.
func (s *Soak) runTrainer(ctx context.Context, r *rand.Rand, trainer int) {
	for step := int64(0); ctx.Err() == nil; step++ {
		id := fmt.Sprintf("job-%d-%d", trainer, step)
		var items []string
		for i := range itemsPerJob {
			items = append(items, fmt.Sprintf("item-%d-%d-%d", trainer, step, i))
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

// readResults reads the results of a job at changing processes, now and then from the start, and reports whether all are
// there.
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

// waitForJobs waits until every accepted job can be read to its end at every process.
func (s *Soak) waitForJobs() {
	deadline := time.Now().Add(recoveryTimeout)
	r := rand.New(rand.NewPCG(s.opts.Seed, 300))
	for _, id := range s.checker.incompleteJobs() {
		if !s.readResults(context.Background(), r, id, deadline) {
			s.history.recordViolation("job %s has %d of %d results %s after the last fault", id, s.checker.resultCount(id), itemsPerJob, recoveryTimeout)
		}
	}
}
