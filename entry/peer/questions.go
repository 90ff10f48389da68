package peer

import (
	"cmp"
	"maps"
	"slices"

	"github.com/radishshelf/radishshelf/rpc"
)

const (
	// maxReportRequests bounds the upstreams that one request asks for, about 800 B. After a start of the whole fleet a
	// peer knows a few of them only.
	maxReportRequests = 40
	// maxRequestAttempts is how often a name is asked for; the upstream may be gone by then.
	maxRequestAttempts = 8
	// maxMissing bounds the names that wait to be asked for.
	maxMissing = 256
)

// reportRequests are the upstreams of which only short reports have arrived, and what peers asked this entry. A report that
// has a name and the sequence number 0 asks the receiver for the full report. It is not safe for concurrent use.
type reportRequests struct {
	// attempts counts how often each name was asked for.
	attempts map[string]int
	received map[string][]string
}

func newReportRequests() *reportRequests {
	return &reportRequests{attempts: map[string]int{}, received: map[string][]string{}}
}

// add notes an upstream that has to be asked for.
func (q *reportRequests) add(upstream string) {
	if _, known := q.attempts[upstream]; !known && len(q.attempts) < maxMissing {
		q.attempts[upstream] = 0
	}
}

// remove notes that a full report has arrived.
func (q *reportRequests) remove(upstream string) { delete(q.attempts, upstream) }

// next returns the questions for a request. A name that was asked for often comes back with the next short report.
func (q *reportRequests) next() []*rpc.HeartbeatRequest {
	var list []*rpc.HeartbeatRequest
	// Names that were asked for less often come first, so that two requests of one second do not ask for the same.
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

// recordReceived keeps the questions of a request for the answer to the peer.
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

// takeReceived returns what the peer asked for, once.
func (q *reportRequests) takeReceived(from string) []string {
	names := q.received[from]
	delete(q.received, from)
	return names
}

func isReportRequest(r *rpc.HeartbeatRequest) bool {
	return r.GetUpstream() != "" && len(r.GetUpstream()) <= maxNameBytes && r.GetReportSeq() == 0
}
