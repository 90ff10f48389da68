package peer

import (
	"cmp"
	"maps"
	"slices"

	"github.com/radishshelf/radishshelf/rpc"
)

const (
	// maxReportRequests limits the full reports requested in one message, which takes about 800 B. After a start of the
	// whole fleet, each peer knows only a few upstreams.
	maxReportRequests = 40
	// maxRequestAttempts limits the requests for one upstream, which may have gone in the meantime.
	maxRequestAttempts = 8
	// maxMissing limits the upstreams that are waiting to be requested.
	maxMissing = 256
)

// reportRequests tracks the upstreams whose full report is missing and the requests received from peers. On the wire, a
// report with a name and the sequence number 0 requests the full report from the receiver. It is not safe for
// concurrent use.
type reportRequests struct {
	// attempts counts the requests for each missing upstream.
	attempts map[string]int
	// received holds the upstreams that each peer requested, by entry name.
	received map[string][]string
}

func newReportRequests() *reportRequests {
	return &reportRequests{attempts: map[string]int{}, received: map[string][]string{}}
}

// add records an upstream whose full report has to be requested.
func (q *reportRequests) add(upstream string) {
	if _, known := q.attempts[upstream]; !known && len(q.attempts) < maxMissing {
		q.attempts[upstream] = 0
	}
}

// remove records that a full report has arrived.
func (q *reportRequests) remove(upstream string) { delete(q.attempts, upstream) }

// next returns the report requests for a message. An upstream that has been requested maxRequestAttempts times is
// dropped until its next partial report adds it again.
func (q *reportRequests) next() []*rpc.HeartbeatRequest {
	var list []*rpc.HeartbeatRequest
	// The least requested names come first, so that the two messages sent each second do not request the same ones.
	names := slices.SortedFunc(maps.Keys(q.attempts), func(a, b string) int {
		return cmp.Or(cmp.Compare(q.attempts[a], q.attempts[b]), cmp.Compare(a, b))
	})
	for _, name := range names[:min(len(names), maxReportRequests)] {
		q.attempts[name]++
		if q.attempts[name] == maxRequestAttempts {
			delete(q.attempts, name)
		}
		list = append(list, &rpc.HeartbeatRequest{Upstream: name})
	}
	return list
}

// recordReceived stores the report requests of a peer for the response.
func (q *reportRequests) recordReceived(from string, reports []*rpc.HeartbeatRequest) {
	var names []string
	for _, r := range reports {
		if isReportRequest(r) && len(names) < maxReportRequests {
			names = append(names, r.GetUpstream())
		}
	}
	if len(names) > 0 && len(q.received) < maxKnownEntries {
		q.received[from] = names
	}
}

// takeReceived returns and removes the upstreams that the peer requested.
func (q *reportRequests) takeReceived(from string) []string {
	names := q.received[from]
	delete(q.received, from)
	return names
}

func isReportRequest(r *rpc.HeartbeatRequest) bool {
	return r.GetUpstream() != "" && len(r.GetUpstream()) <= maxNameBytes && r.GetReportSeq() == 0
}
