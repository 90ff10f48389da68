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
	// jobTries is how often a job is handed in.
	jobTries = 4
	// jobTime is how long a trainer reads a job before it goes on to the next; the rest is read in the recovery.
	jobTime = 6 * time.Second
	// recoveryTime bounds the time after the last fault until every accepted job is complete.
	recoveryTime = 25 * time.Second
)

// callPlain sends plain requests, half of which must not run twice, on kept and on new connections.
func (s *Soak) callPlain(ctx context.Context, r *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		once := r.IntN(2) == 0
		path := platformtest.QuotePath
		if once {
			path = platformtest.BillPath
		}
		id := fmt.Sprintf("call-%d-%d", r.Uint32(), n)
		s.check.send(id, once)
		caller := platformtest.Caller{KeepAlive: r.IntN(2) == 0, Timeout: callTimeout}
		reply := caller.Do(http.MethodPost, s.pick(r).address(), path+id, id, []byte("body of "+id))
		s.check.answered(id, "body of "+id, reply)
		if reply.Status == http.StatusOK {
			s.served.Add(1)
		}
		pause(ctx, time.Duration(10+r.IntN(60))*time.Millisecond)
	}
}

// train hands in one job after the other and reads its results.
func (s *Soak) train(ctx context.Context, r *rand.Rand, trainer int) {
	for step := int64(0); ctx.Err() == nil; step++ {
		id := fmt.Sprintf("job-%d-%d", trainer, step)
		var items []string
		for i := range itemsPerJob {
			items = append(items, fmt.Sprintf("item-%d-%d-%d", trainer, step, i))
		}
		minVersion := max(s.version.Load()-1, 1)
		s.check.sendJob(id, items, minVersion)
		if s.submit(r, id, platformtest.BatchBody(step, minVersion, items)) {
			s.readUntil(ctx, r, id, time.Now().Add(jobTime))
		} else {
			s.check.finalRefusal(id)
		}
	}
}

func (s *Soak) submit(r *rand.Rand, id string, body []byte) bool {
	for range jobTries {
		reply := platformtest.Caller{Timeout: callTimeout}.Do(http.MethodPost, s.pick(r).address(),
			platformtest.RolloutPath+id, id, body)
		s.check.submitted(id, reply.Status)
		if reply.Status == http.StatusAccepted {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// readUntil reads the results of a job at changing processes, now and then from the start, and reports whether all are
// there.
func (s *Soak) readUntil(ctx context.Context, r *rand.Rand, id string, end time.Time) bool {
	for time.Now().Before(end) && ctx.Err() == nil {
		after := s.check.count(id)
		if r.IntN(5) == 0 {
			after = 0
		}
		page, reply := platformtest.Caller{Timeout: callTimeout}.ReadResults(s.pick(r).address(), id, after)
		if s.check.read(id, after, page, reply) {
			return true
		}
		pause(ctx, 100*time.Millisecond)
	}
	return false
}

// recover waits until every accepted job can be read to its end at every process.
func (s *Soak) recover() {
	end := time.Now().Add(recoveryTime)
	r := rand.New(rand.NewPCG(s.opts.Seed, 300))
	for _, id := range s.check.open() {
		if !s.readUntil(context.Background(), r, id, end) {
			s.h.violate("job %s has %d of %d results %s after the last fault", id, s.check.count(id), itemsPerJob, recoveryTime)
		}
	}
}
