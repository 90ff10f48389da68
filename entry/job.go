package entry

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/radishshelf/radishshelf/dataplane"
)

// job is one request to an upstream, with all its attempts. It is unrelated to the batch jobs of the gateway.
type job struct {
	id          string
	destination destination
	workspace   string
	method      string
	target      string
	header      http.Header
	body        []byte
	// sample is set if the response becomes a training sample.
	sample bool
	// exclusive is set for a crash suspect, which must be the only request on its upstream.
	exclusive   bool
	fingerprint string
	// prefix holds the hashes of the prompt's prefix blocks, shortest first.
	prefix   []uint64
	priority int
	cost     int64
	weight   float64
	deadline time.Time
	// excludedUpstream is the upstream of the hedged original, which this job must not use; it may be empty.
	excludedUpstream string
	// currentUpstream is set to the upstream of the current attempt, unless it is nil.
	currentUpstream *atomic.Pointer[string]
}

// call returns the data plane call of one attempt.
func (j *job) call(address string, attempt int, now time.Time) dataplane.Call {
	return dataplane.Call{
		Address: address, RequestID: j.id, Attempt: attempt, Workspace: j.workspace, Policy: j.destination.serves,
		Timeout: j.deadline.Sub(now), Method: j.method, Target: j.target, Idempotent: j.destination.idempotent,
		Exclusive: j.exclusive, Sample: j.sample, Fingerprint: j.fingerprint, Priority: j.priority, Header: j.header,
		Body: j.body,
	}
}
