package entry

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/radishshelf/radishshelf/dataplane"
)

// job is one request on its way to an upstream.
type job struct {
	id          string
	destination destination
	workspace   string
	method      string
	target      string
	header      http.Header
	body        []byte
	// sample is set when the answer becomes a training sample.
	sample bool
	// exclusive is set for a crash suspect, which must run alone on its upstream.
	exclusive   bool
	fingerprint string
	// prefix holds the hashes of the prompt's prefix blocks, shortest first.
	prefix   []uint64
	priority int
	cost     int64
	weight   float64
	deadline time.Time
	// excludedUpstream names an upstream that a hedge must not use.
	excludedUpstream string
	// currentUpstream is told the upstream of the current attempt; nil when nobody asks.
	currentUpstream *atomic.Pointer[string]
}

func (j *job) call(address string, attempt int, now time.Time) dataplane.Call {
	return dataplane.Call{
		Address: address, RequestID: j.id, Attempt: attempt, Workspace: j.workspace, Policy: j.destination.serves,
		Timeout: j.deadline.Sub(now), Method: j.method, Target: j.target, Idempotent: j.destination.idempotent,
		Exclusive: j.exclusive, Sample: j.sample, Fingerprint: j.fingerprint, Priority: j.priority, Header: j.header,
		Body: j.body,
	}
}
