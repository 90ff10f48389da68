package peer

import (
	"cmp"
	"maps"
	"slices"

	"github.com/radishshelf/radishshelf/rpc"
)

const (
	// maxQuestions bounds the upstreams that one request asks for, about 800 B. After a start of the whole fleet a
	// peer knows a few of them only.
	maxQuestions = 40
	// maxAsked is how often a name is asked for; the upstream may be gone by then.
	maxAsked = 8
	// maxLacking bounds the names that wait to be asked for.
	maxLacking = 256
)

// questions are the upstreams of which only short reports have arrived, and what peers asked this entry. A report that
// has a name and the sequence number 0 asks the receiver for the full report. It is not safe for concurrent use.
type questions struct {
	// lacking counts how often each name was asked for.
	lacking map[string]int
	asked   map[string][]string
}

func newQuestions() *questions {
	return &questions{lacking: map[string]int{}, asked: map[string][]string{}}
}

// lack notes an upstream that has to be asked for.
func (q *questions) lack(upstream string) {
	if _, known := q.lacking[upstream]; !known && len(q.lacking) < maxLacking {
		q.lacking[upstream] = 0
	}
}

// found notes that a full report has arrived.
func (q *questions) found(upstream string) { delete(q.lacking, upstream) }

// ask returns the questions for a request. A name that was asked for often comes back with the next short report.
func (q *questions) ask() []*rpc.HeartbeatRequest {
	var list []*rpc.HeartbeatRequest
	// Names that were asked for less often come first, so that two requests of one second do not ask for the same.
	names := slices.SortedFunc(maps.Keys(q.lacking), func(a, b string) int {
		return cmp.Or(cmp.Compare(q.lacking[a], q.lacking[b]), cmp.Compare(a, b))
	})
	for _, name := range names[:min(len(names), maxQuestions)] {
		q.lacking[name]++
		if q.lacking[name] == maxAsked {
			delete(q.lacking, name)
		}
		list = append(list, &rpc.HeartbeatRequest{Upstream: name})
	}
	return list
}

// take keeps the questions of a request for the answer to the peer.
func (q *questions) take(from string, reports []*rpc.HeartbeatRequest) {
	var names []string
	for _, r := range reports {
		if isQuestion(r) && len(names) < maxQuestions {
			names = append(names, r.GetUpstream())
		}
	}
	if len(names) > 0 && len(q.asked) < maxNeighbours {
		q.asked[from] = names
	}
}

// answer returns what the peer asked for, once.
func (q *questions) answer(from string) []string {
	names := q.asked[from]
	delete(q.asked, from)
	return names
}

func isQuestion(r *rpc.HeartbeatRequest) bool {
	return r.GetUpstream() != "" && len(r.GetUpstream()) <= maxNameBytes && r.GetReportSeq() == 0
}
