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
	// namedVersions is how many versions are named before the check, so that engines without orders are too old for it.
	namedVersions = 2
	// settleTime is the time without faults and without a new version after which waiting items must find engines, and
	// maxWait how long they may wait beside free slots; both are the platform's.
	settleTime = 6 * time.Second
	maxWait    = 5 * time.Second
	// recoveryEvents is the length of the texts: none of them ends before the last one has to run.
	recoveryEvents = int(maxWait / eventInterval)
	// lastFaultTime is how long the last fault lasts, and lastFaultAfter the time from the beginning of the texts to it.
	lastFaultTime  = time.Second
	lastFaultAfter = 400 * time.Millisecond
)

// lastFaults are faults of engines that end before the check. They are what the gateways see of these engines last, because
// the job that runs there ends meanwhile.
var lastFaults = []struct {
	name       string
	begin, end func(u *upstream)
}{
	{"down", func(u *upstream) { u.SetDown(true) }, func(u *upstream) { u.SetDown(false) }},
	{"slow", func(u *upstream) { u.SetSlower(slowEngineTimes) }, func(u *upstream) { u.SetSlower(1) }},
	{"cut off", func(u *upstream) { u.link.SetFaults(LinkFaults{DropToTarget: true, DropFromTarget: true}) }, func(u *upstream) {
		u.link.SetFaults(LinkFaults{})
		u.link.Reset()
	}},
	{"without a fault", func(*upstream) {}, func(*upstream) {}},
}

// checkRecovery checks, once the faults are over, that all engines are used again: a job of long texts for just under half of
// the slots must run, also after connections to the engines were reset.
func (s *Soak) checkRecovery() {
	r := rand.New(rand.NewPCG(s.opts.Seed, 500))
	slots := 0
	for _, u := range s.upstreams.engines() {
		slots += u.Slots
	}
	if slots < 4 {
		return
	}
	s.runLastFault(r, slots/2-1)
	for range namedVersions {
		s.publishVersion()
		time.Sleep(time.Second)
	}
	time.Sleep(settleTime)
	s.runRecoveryJob(r, slots/2-1, slots)
}

// runLastFault submits a job of n long texts, brings about a fault of all engines but one, and ends the job.
func (s *Soak) runLastFault(r *rand.Rand, n int) {
	const id = "job-last-fault"
	fault := lastFaults[r.IntN(len(lastFaults))]
	s.history.record("last fault: engines %s", fault.name)
	if !s.submitLongJob(r, id, n) {
		return
	}
	time.Sleep(lastFaultAfter)
	engines := s.upstreams.engines()
	for _, u := range engines[1:] {
		fault.begin(u)
	}
	time.Sleep(lastFaultTime)
	if reply := (platformtest.Caller{Timeout: callTimeout}).EndJob(s.pickProcess(r).address(), id); reply.Status != http.StatusOK {
		s.history.recordViolation("the end of job %s got status %d", id, reply.Status)
	}
	for _, u := range engines[1:] {
		fault.end(u)
	}
}

// runRecoveryJob submits a job of n long texts, resets half of the connections to the engines while these run, and records a
// violation for each text that is at no engine for maxWait.
func (s *Soak) runRecoveryJob(r *rand.Rand, n, slots int) {
	const id = "job-recovery"
	if !s.submitLongJob(r, id, n) {
		s.history.recordViolation("job %s was not accepted after the faults", id)
		return
	}
	accepted, reset := time.Now(), false
	for !s.checker.allComplete(id) {
		if away := s.checker.awaySince(id, accepted, maxWait); len(away) > 0 {
			s.history.recordViolation("items %v of job %s were at no engine for %s, with %d items in all and %d slots",
				away, id, maxWait, n, slots)
			return
		}
		if !reset && time.Since(accepted) > lastFaultAfter {
			reset = true
			for _, u := range s.upstreams.engines() {
				u.link.ResetHalf()
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	if !s.readResults(context.Background(), r, id, time.Now().Add(recoveryTimeout)) {
		s.history.recordViolation("job %s has only %d of %d results %s after its texts were complete", id, s.checker.resultCount(id), n, recoveryTimeout)
	}
}

// submitLongJob submits a job of n long texts and reports whether it was accepted.
func (s *Soak) submitLongJob(r *rand.Rand, id string, n int) bool {
	var items []string
	for i := range n {
		items = append(items, platformtest.LongItemID(fmt.Sprintf("item-%s-%d", id, i), recoveryEvents))
	}
	minVersion := max(s.version.Load()-1, 1)
	s.checker.recordJobSend(id, items, minVersion)
	return s.submitJob(r, id, platformtest.BatchBody(0, minVersion, items))
}
