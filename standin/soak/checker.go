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

// Bounds in the settings of the processes: the lease of the duties and the length of a usage window.
const (
	dutyLease   = 3 * time.Second
	usageWindow = 5 * time.Second
)

// checker records what callers and upstreams observe, and checks the observations against each other.
type checker struct {
	history *history

	mu sync.Mutex
	// runs counts the executions of each request. refused holds the requests whose response said that they did not run.
	runs    map[string]int
	refused map[string]bool
	// atMostOnce holds the requests that must not run twice, sent every request and item that a caller sent.
	atMostOnce, sent map[string]bool
	// runsNow counts the current runs of each request, endedAt holds when its last run ended, and completed whether one was
	// answered in full.
	runsNow   map[string]int
	endedAt   map[string]time.Time
	completed map[string]bool
	// jobs holds the state of each job as callers know it, itemJob the job of each item.
	jobs    map[string]*jobView
	itemJob map[string]string
	// reports holds the reported counts of each usage window, terms the latest fencing term and holder of each receiver, and
	// lastCalls the time of the last call of each holder to each receiver.
	reports   map[int64]map[string]int64
	terms     map[string]termHolder
	lastCalls map[receiverCall]time.Time
	// lastReport is when the last usage report arrived.
	lastReport time.Time
	// crashRunCount counts the executions of the request that crashes its upstreams.
	crashRunCount int
	// noRunsAfter holds, for each leaving upstream, the time after which no request should reach it. lateRuns counts the
	// requests that do.
	noRunsAfter map[string]time.Time
	lateRuns    map[string]int
	// dataCentres holds the data centre of each upstream, and places the constraints that are in force.
	dataCentres map[string]string
	places      map[*placeRule]bool
}

// jobView is the state of a job as callers know it.
type jobView struct {
	// allRefused is true while every response to a submission said that the job did not run.
	accepted, allRefused bool
	items                []string
	minVersion           int64
	results              []string
}

// termHolder is a fencing term with its holder.
type termHolder struct {
	term   int64
	holder string
}

// receiverCall identifies the calls of one holder to one receiver.
type receiverCall struct {
	receiver, holder string
}

func newChecker(h *history) *checker {
	return &checker{
		history: h, runs: map[string]int{}, runsNow: map[string]int{}, endedAt: map[string]time.Time{}, completed: map[string]bool{}, refused: map[string]bool{}, atMostOnce: map[string]bool{}, sent: map[string]bool{},
		jobs: map[string]*jobView{}, itemJob: map[string]string{}, reports: map[int64]map[string]int64{},
		terms: map[string]termHolder{}, lastCalls: map[receiverCall]time.Time{}, noRunsAfter: map[string]time.Time{}, lateRuns: map[string]int{},
		dataCentres: map[string]string{}, places: map[*placeRule]bool{},
	}
}

// recordSend records a request before it is sent.
func (c *checker) recordSend(id string, atMostOnce bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent[id] = true
	c.atMostOnce[id] = atMostOnce
}

// recordJobSend records a job, its items and their score calls before the job is sent.
func (c *checker) recordJobSend(id string, items []string, minVersion int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id] = &jobView{items: items, minVersion: minVersion, allRefused: true}
	for _, item := range items {
		c.sent[item], c.sent[platformtest.ScoreID(item)] = true, true
		c.itemJob[item] = id
	}
}

// recordRun checks a request that an upstream started to execute.
func (c *checker) recordRun(r platformtest.Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[r.ID]++
	c.runsNow[r.ID]++
	if r.Path == crashPath {
		c.crashRunCount++
	}
	if from, ok := c.noRunsAfter[r.Upstream]; ok && time.Now().After(from) {
		if c.lateRuns[r.Upstream]++; c.lateRuns[r.Upstream] == maxRunsAfterLeave {
			c.history.recordViolation("%d requests reached upstream %s more than the allowed time after it announced that it leaves",
				maxRunsAfterLeave, r.Upstream)
		}
	}
	c.checkPlace(r)
	switch {
	case r.CredentialLeaked:
		c.history.recordViolation("upstream %s received a caller credential with request %s", r.Upstream, r.ID)
	case !c.sent[r.ID]:
		c.history.recordViolation("upstream %s ran request %s, which no caller sent", r.Upstream, r.ID)
	case c.atMostOnce[r.ID] && c.runs[r.ID] > 1:
		c.history.recordViolation("request %s ran %d times, but may run only once", r.ID, c.runs[r.ID])
	case c.refused[r.ID]:
		c.history.recordViolation("request %s runs at upstream %s after its caller was told that it did not run", r.ID, r.Upstream)
	case !strings.HasPrefix(r.Path, platformtest.ScorePath) && r.Workspace != platformtest.Workspace:
		c.history.recordViolation("request %s runs for the wrong workspace %q", r.ID, r.Workspace)
	}
	if job := c.jobs[c.itemJob[r.ID]]; job != nil && job.allRefused && !job.accepted && c.refused[c.itemJob[r.ID]] {
		c.history.recordViolation("item %s runs although job %s was refused", r.ID, c.itemJob[r.ID])
	}
}

// recordEnd records the end of a request that an upstream executed.
func (c *checker) recordEnd(id string, complete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runsNow[id]--
	c.endedAt[id] = time.Now()
	c.completed[id] = c.completed[id] || complete
}

// recordLeaving records that an upstream announces that it leaves. No request should reach it after the given time.
func (c *checker) recordLeaving(id string, from time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noRunsAfter[id] = from
}

// crashRuns returns how many times the request that crashes its upstreams has run.
func (c *checker) crashRuns() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crashRunCount
}

// recordOrder checks the fencing term of an order that an engine accepted.
func (c *checker) recordOrder(o platformtest.Order) {
	c.checkTerm("orders to "+o.Upstream, o.Holder, o.Term)
}

// recordUsageReport checks the fencing term of a usage report, and that each window is reported with the same counts.
func (c *checker) recordUsageReport(r platformtest.UsageReport) {
	c.checkTerm("usage", r.Holder, r.Term)
	c.mu.Lock()
	defer c.mu.Unlock()
	if before, ok := c.reports[r.Window]; ok && !maps.Equal(before, r.Counts) {
		c.history.recordViolation("usage window %d was reported with counts %v and then with %v", r.Window, before, r.Counts)
	}
	c.reports[r.Window] = r.Counts
	c.lastReport = time.Now()
}

// awaitUsageReport waits until the next usage report arrives, for the length of a usage window and a little more.
func (c *checker) awaitUsageReport() {
	received := func() time.Time {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.lastReport
	}
	start := time.Now()
	for time.Since(start) < usageWindow+time.Second && received().Before(start) {
		time.Sleep(10 * time.Millisecond)
	}
}

// checkTerm checks that the fencing terms at a receiver never decrease, that each term has one holder, and that holders do
// not take turns within the lease.
func (c *checker) checkTerm(subject, holder string, term int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := c.terms[subject]
	if term < last.term || term == last.term && last.holder != holder {
		c.history.recordViolation("%s: received term %d of %s after term %d of %s", subject, term, holder, last.term, last.holder)
	}
	c.terms[subject] = termHolder{term, holder}
	call, now := receiverCall{subject, holder}, time.Now()
	if before, ok := c.lastCalls[call]; ok && last.holder != holder && now.Sub(before) < dutyLease {
		c.history.recordViolation("%s: received calls of %s, %s and %s again within %s", subject, holder, last.holder, holder, now.Sub(before))
	}
	c.lastCalls[call] = now
}

// checkReply checks the response to a plain request.
func (c *checker) checkReply(id, body string, r platformtest.Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case r.Status == http.StatusOK && string(r.Body) != platformtest.PlainBody(id, body):
		c.history.recordViolation("request %s got the wrong body %q", id, r.Body)
	case r.Status == http.StatusOK && !strings.HasSuffix(r.Signature, "."+id):
		c.history.recordViolation("request %s got the wrong signature %q", id, r.Signature)
	case r.Status == http.StatusNotFound || r.Status == http.StatusUnauthorized:
		c.history.recordViolation("request %s got status %d although its route and key exist", id, r.Status)
	case r.Status == http.StatusServiceUnavailable || r.Status == http.StatusTooManyRequests:
		c.refused[id] = c.atMostOnce[id]
		if c.atMostOnce[id] && c.runs[id] > 0 {
			c.history.recordViolation("request %s got status %d although it has run", id, r.Status)
		}
	}
}

// recordSubmission records the response status of one attempt to submit a job.
func (c *checker) recordSubmission(id string, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	switch status {
	case http.StatusAccepted:
		j.accepted = true
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
	case http.StatusNotFound, http.StatusUnauthorized, http.StatusBadRequest:
		c.history.recordViolation("submission of job %s got status %d", id, status)
	default:
		j.allRefused = false
	}
}

// abandonJob records that the job will not be submitted again. If every response said "not run", none of its items may run.
func (c *checker) abandonJob(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j := c.jobs[id]; j.allRefused && !j.accepted {
		c.refused[id] = true
	}
}

// checkPage checks a page of results, and reports whether all results of the job have been read.
func (c *checker) checkPage(id string, after int, page platformtest.ResultPage, r platformtest.Reply) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	if r.Status == http.StatusNotFound {
		c.history.recordViolation("accepted job %s got status 404", id)
	}
	if r.Status != http.StatusOK {
		return false
	}
	if page.Total != len(j.items) || page.Next != after+len(page.Results) {
		c.history.recordViolation("job %s: page reports total %d of %d items, next %d after %d", id, page.Total, len(j.items), page.Next, after)
	}
	for i, result := range page.Results {
		c.checkResult(j, id, after+i, result.ID, result.State, result.Output, result.Score, result.Versions)
	}
	return len(j.results) == len(j.items)
}

// checkResult checks the result at one position. c.mu must be held.
func (c *checker) checkResult(j *jobView, job string, position int, id, state, output, score string, versions []int64) {
	if position < len(j.results) {
		if j.results[position] != id {
			c.history.recordViolation("position %d of job %s changed from item %s to %s", position, job, j.results[position], id)
		}
		return
	}
	if slices.Contains(j.results, id) || !slices.Contains(j.items, id) {
		c.history.recordViolation("item %s at position %d of job %s is a duplicate or belongs to another job", id, position, job)
	}
	j.results = append(j.results, id)
	var want []string
	for event := 1; event <= platformtest.EventCount(id); event++ {
		want = append(want, platformtest.EventData(id, event))
	}
	switch {
	case state != "succeeded":
		c.history.recordViolation("item %s of job %s ended in state %s", id, job, state)
	case output != strings.Join(want, "\n"):
		c.history.recordViolation("item %s has the wrong output %q", id, output)
	case !strings.HasSuffix(score, "."+platformtest.ScoreID(id)):
		c.history.recordViolation("item %s has the wrong score %q", id, score)
	case len(versions) == 0 || versions[0] < j.minVersion:
		c.history.recordViolation("item %s was generated with versions %v, want at least %d", id, versions, j.minVersion)
	}
}

// incompleteJobs returns the sorted ids of the accepted jobs whose results were not all read.
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

// awaySince returns the items of a job that are not complete and have been at no upstream for longer than d, if the job began
// to wait at since.
func (c *checker) awaySince(id string, since time.Time, d time.Duration) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(c.jobs[id].items), func(item string) bool {
		last := since
		if ended := c.endedAt[item]; ended.After(last) {
			last = ended
		}
		return c.completed[item] || c.runsNow[item] > 0 || time.Since(last) <= d
	})
}

// allComplete reports whether an upstream has answered each item of a job in full.
func (c *checker) allComplete(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !slices.ContainsFunc(c.jobs[id].items, func(item string) bool { return !c.completed[item] })
}

// resultCount returns the number of results that were read of a job.
func (c *checker) resultCount(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.jobs[id].results)
}
