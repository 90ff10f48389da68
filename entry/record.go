package entry

import (
	"sync"
	"time"

	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/retry"
)

// maxRecords limits the stored explanations; at about 1 KiB each they use less than 4 MiB.
const maxRecords = 4096

// Explanation describes to an operator how one request was handled.
type Explanation struct {
	RequestID string    `json:"request_id"`
	At        time.Time `json:"at"`
	Workspace string    `json:"workspace"`
	// Destination is the name of the policy or route.
	Destination string `json:"destination"`
	// Decisions has one line for each routing decision, and Failures one for each failed attempt.
	Decisions []string `json:"decisions,omitempty"`
	Failures  []string `json:"failures,omitempty"`
	// Retries has the reason, for each failed attempt, why it was or was not retried.
	Retries   []retry.Reason `json:"retries,omitempty"`
	Upstream  string         `json:"upstream,omitempty"`
	Status    int            `json:"status"`
	Outcome   string         `json:"outcome"`
	Refusal   outcome.Kind   `json:"refusal,omitempty"`
	QueueWait time.Duration  `json:"queue_wait_ns"`
	FirstByte time.Duration  `json:"first_byte_ns"`
	Total     time.Duration  `json:"total_ns"`
}

// requestRecord collects the explanation while the request runs. All generations of a rollout group share one record.
type requestRecord struct {
	mu sync.Mutex
	Explanation
	// startedAt is when the request arrived.
	startedAt time.Time
}

func (r *requestRecord) addDecision(c upstreamChoice) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Decisions = append(r.Decisions, c.decision.String())
}

func (r *requestRecord) setUpstream(upstream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Upstream = upstream
}

func (r *requestRecord) addQueueWait(wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.QueueWait = max(r.QueueWait, wait)
}

func (r *requestRecord) addFailure(upstream string, refusal *outcome.Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Failures = append(r.Failures, upstream+": "+refusal.Error())
}

func (r *requestRecord) addRetryDecision(d retry.Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Retries = append(r.Retries, d.Reason)
}

// explanationStore keeps the most recent explanations by request id.
type explanationStore struct {
	mu   sync.Mutex
	byID map[string]Explanation
	// order is a ring of request ids; next is the index of the oldest once it is full.
	order []string
	next  int
}

func newExplanationStore() *explanationStore {
	return &explanationStore{byID: make(map[string]Explanation), order: make([]string, 0, maxRecords)}
}

func (s *explanationStore) add(e Explanation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byID[e.RequestID] = e
	if len(s.order) < maxRecords {
		s.order = append(s.order, e.RequestID)
		return
	}
	delete(s.byID, s.order[s.next])
	s.order[s.next] = e.RequestID
	s.next = (s.next + 1) % maxRecords
}

// Explain returns the explanation of a recent request of this entry.
func (e *Entry) Explain(requestID string) (Explanation, bool) {
	e.explanations.mu.Lock()
	defer e.explanations.mu.Unlock()
	found, ok := e.explanations.byID[requestID]
	return found, ok
}
