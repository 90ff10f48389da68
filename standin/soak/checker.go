package soak

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/radishshelf/radishshelf/platform/platformtest"
)

// checker holds what callers and upstreams have seen, and compares it.
type checker struct {
	history *history

	mu sync.Mutex
	// runs counts the runs of each request, and refused holds those that were answered "not run".
	runs    map[string]int
	refused map[string]bool
	// atMostOnce holds the requests that must not run twice, and sent everything that a caller sent.
	atMostOnce, sent map[string]bool
	// jobs holds what was read of each job, and itemJob the job of each item.
	jobs    map[string]*jobView
	itemJob map[string]string
	// reports holds the figures of each usage window, and terms the highest term of each receiver with its holder.
	reports map[int64]map[string]int64
	terms   map[string]termHolder
	// crashRunCount counts the runs of the request that ends its upstreams.
	crashRunCount int
	// noRunsAfter holds from when on no run is expected at upstreams that leave, and late counts those all the same.
	noRunsAfter map[string]time.Time
	lateRuns    map[string]int
}

// jobView is what callers know of a job.
type jobView struct {
	accepted, allRefused bool
	items                []string
	minVersion           int64
	results              []string
}

type termHolder struct {
	term   int64
	holder string
}

func newChecker(h *history) *checker {
	return &checker{
		history: h, runs: map[string]int{}, refused: map[string]bool{}, atMostOnce: map[string]bool{}, sent: map[string]bool{},
		jobs: map[string]*jobView{}, itemJob: map[string]string{}, reports: map[int64]map[string]int64{},
		terms: map[string]termHolder{}, noRunsAfter: map[string]time.Time{}, lateRuns: map[string]int{},
	}
}

// recordSend notes a request before it is sent.
func (c *checker) recordSend(id string, atMostOnce bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent[id] = true
	c.atMostOnce[id] = atMostOnce
}

// recordJobSend notes a job before it is sent.
func (c *checker) recordJobSend(id string, items []string, minVersion int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id] = &jobView{items: items, minVersion: minVersion, allRefused: true}
	for _, item := range items {
		c.sent[item], c.sent[platformtest.ScoreID(item)] = true, true
		c.itemJob[item] = id
	}
}

// recordRun takes a request that began to run at an upstream.
func (c *checker) recordRun(r platformtest.Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[r.ID]++
	if r.Path == crashPath {
		c.crashRunCount++
	}
	if from, ok := c.noRunsAfter[r.Upstream]; ok && time.Now().After(from) {
		if c.lateRuns[r.Upstream]++; c.lateRuns[r.Upstream] == maxRunsAfterLeave {
			c.history.recordViolation("%d requests reached %s long after it said that it leaves", maxRunsAfterLeave, r.Upstream)
		}
	}
	switch {
	case r.CredentialLeaked:
		c.history.recordViolation("a key reached upstream %s with request %s", r.Upstream, r.ID)
	case !c.sent[r.ID]:
		c.history.recordViolation("upstream %s ran %s, which nobody sent", r.Upstream, r.ID)
	case c.atMostOnce[r.ID] && c.runs[r.ID] > 1:
		c.history.recordViolation("%s ran %d times and may run once", r.ID, c.runs[r.ID])
	case c.refused[r.ID]:
		c.history.recordViolation("%s runs at %s and was answered as not run", r.ID, r.Upstream)
	case !strings.HasPrefix(r.Path, platformtest.ScorePath) && r.Workspace != platformtest.Workspace:
		c.history.recordViolation("%s runs for workspace %q", r.ID, r.Workspace)
	}
	if job := c.jobs[c.itemJob[r.ID]]; job != nil && job.allRefused && !job.accepted && c.refused[c.itemJob[r.ID]] {
		c.history.recordViolation("item %s of refused job %s runs", r.ID, c.itemJob[r.ID])
	}
}

// recordLeaving notes that an upstream says that it recordLeaving, and from when on no run is expected there.
func (c *checker) recordLeaving(id string, from time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noRunsAfter[id] = from
}

// crashRuns returns how often the request that ends its upstreams has run.
func (c *checker) crashRuns() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crashRunCount
}

// recordOrder takes an order that an engine accepted.
func (c *checker) recordOrder(o platformtest.Order) {
	c.checkTerm("orders to "+o.Upstream, o.Holder, o.Term)
}

// recordUsageReport takes a usage report.
func (c *checker) recordUsageReport(r platformtest.UsageReport) {
	c.checkTerm("usage", r.Holder, r.Term)
	c.mu.Lock()
	defer c.mu.Unlock()
	if before, ok := c.reports[r.Window]; ok && !maps.Equal(before, r.Counts) {
		c.history.recordViolation("usage window %d is reported as %v and as %v", r.Window, before, r.Counts)
	}
	c.reports[r.Window] = r.Counts
}

func (c *checker) checkTerm(subject, holder string, term int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := c.terms[subject]
	if term < last.term || term == last.term && last.holder != holder {
		c.history.recordViolation("%s: term %d of %s after term %d of %s", subject, term, holder, last.term, last.holder)
	}
	c.terms[subject] = termHolder{term, holder}
}

// checkReply takes the answer to a plain request.
func (c *checker) checkReply(id, body string, r platformtest.Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case r.Status == http.StatusOK && string(r.Body) != platformtest.PlainBody(id, body):
		c.history.recordViolation("%s is answered %q", id, r.Body)
	case r.Status == http.StatusOK && !strings.HasSuffix(r.Signature, "."+id):
		c.history.recordViolation("%s is answered with signature %q", id, r.Signature)
	case r.Status == http.StatusNotFound || r.Status == http.StatusUnauthorized:
		c.history.recordViolation("%s is answered %d although its route and key are there", id, r.Status)
	case r.Status == http.StatusServiceUnavailable || r.Status == http.StatusTooManyRequests:
		c.refused[id] = c.atMostOnce[id]
		if c.atMostOnce[id] && c.runs[id] > 0 {
			c.history.recordViolation("%s is answered %d and has run", id, r.Status)
		}
	}
}

// recordSubmission takes the answer to a job that was handed in.
func (c *checker) recordSubmission(id string, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	switch status {
	case http.StatusAccepted:
		j.accepted = true
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
	case http.StatusNotFound, http.StatusUnauthorized, http.StatusBadRequest:
		c.history.recordViolation("job %s is answered %d", id, status)
	default:
		j.allRefused = false
	}
}

// abandonJob tells that the job will not be handed in again; if every answer said "not run", no item may run.
func (c *checker) abandonJob(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j := c.jobs[id]; j.allRefused && !j.accepted {
		c.refused[id] = true
	}
}

// checkPage takes a page of results, and reports whether all are there.
func (c *checker) checkPage(id string, after int, page platformtest.ResultPage, r platformtest.Reply) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	if r.Status == http.StatusNotFound {
		c.history.recordViolation("accepted job %s is answered 404", id)
	}
	if r.Status != http.StatusOK {
		return false
	}
	if page.Total != len(j.items) || page.Next != after+len(page.Results) {
		c.history.recordViolation("job %s: total %d of %d, next %d after %d", id, page.Total, len(j.items), page.Next, after)
	}
	for i, result := range page.Results {
		c.checkResult(j, id, after+i, result.ID, result.State, result.Output, result.Score, result.Versions)
	}
	return len(j.results) == len(j.items)
}

// checkResult checks one position. The caller holds the lock.
func (c *checker) checkResult(j *jobView, job string, position int, id, state, output, score string, versions []int64) {
	if position < len(j.results) {
		if j.results[position] != id {
			c.history.recordViolation("position %d of job %s held %s and holds %s", position, job, j.results[position], id)
		}
		return
	}
	if slices.Contains(j.results, id) || !slices.Contains(j.items, id) {
		c.history.recordViolation("item %s stands at position %d of job %s and does not belong there", id, position, job)
	}
	j.results = append(j.results, id)
	var want []string
	for event := 1; event <= platformtest.EventCount(id); event++ {
		want = append(want, platformtest.EventData(id, event))
	}
	switch {
	case state != "succeeded":
		c.history.recordViolation("item %s of job %s is %s", id, job, state)
	case output != strings.Join(want, "\n"):
		c.history.recordViolation("the text of item %s is %q", id, output)
	case !strings.HasSuffix(score, "."+platformtest.ScoreID(id)):
		c.history.recordViolation("item %s has score %q", id, score)
	case len(versions) == 0 || versions[0] < j.minVersion:
		c.history.recordViolation("item %s was made by versions %v, at least %d is wanted", id, versions, j.minVersion)
	}
}

// incompleteJobs returns the accepted jobs that were not read to their end.
func (c *checker) incompleteJobs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []string
	for id, j := range c.jobs {
		if j.accepted && len(j.results) < len(j.items) {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}

// resultCount returns how many results were read of a job.
func (c *checker) resultCount(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.jobs[id].results)
}
