package measure

import (
	"fmt"
	"time"

	"github.com/radishshelf/radishshelf/admission"
)

// timeoutPerToken times the mean response length is a client's timeout: five and a half times the running time of a
// mean response.
const timeoutPerToken = 200 * time.Millisecond

// Client sends requests through a queue to a pool and retries them up to maxAttempts.
type Client struct {
	sim         *Sim
	user        User
	pool        *Pool
	queue       requestQueue
	generator   *RequestGenerator
	maxAttempts int
	lastID      int
	// Attempts counts all attempts, and Requests counts distinct requests.
	Attempts int
	Requests int
	// onAttemptEnd is called at the end of each attempt.
	onAttemptEnd func(a attempt)
}

// attempt is one attempt of a request.
type attempt struct {
	workspace int
	number    int
	weight    float64
	request   Request
	begin     time.Time
	// end is when the response arrived or the attempt failed.
	end time.Time
	ok  bool
}

// Send starts a request of a workspace with the given scheduling weight.
func (c *Client) Send(workspace int, weight float64) {
	c.Requests++
	c.startAttempt(attempt{workspace: workspace, weight: weight, number: 1, request: c.generator.Next()})
}

func (c *Client) timeout() time.Duration {
	return time.Duration(c.user.MeanResponseTokens * float64(timeoutPerToken))
}

func (c *Client) startAttempt(a attempt) {
	c.Attempts++
	c.lastID++
	id := fmt.Sprint(c.lastID)
	a.begin = c.sim.Now()
	ended := false
	finish := func(ok bool, retryAfter time.Duration) {
		if ended {
			return
		}
		ended = true
		a.ok, a.end = ok, c.sim.Now()
		c.onAttemptEnd(a)
		if ok || a.number >= c.maxAttempts {
			return
		}
		a.number++
		c.sim.After(retryAfter, func() { c.startAttempt(a) })
	}
	c.sim.After(c.timeout(), func() {
		if !ended {
			c.queue.remove(id)
		}
		finish(false, 0)
	})
	c.queue.offer(queuedRequest{
		item: admission.Item{
			ID: id, Workspace: fmt.Sprint(a.workspace), Weight: a.weight, Cost: int64(c.user.MeanResponseTokens),
			Deadline: a.begin.Add(c.timeout()),
		},
		run:    func() { c.run(id, a.request, finish) },
		refuse: func(retryAfter time.Duration) { finish(false, retryAfter) },
	})
}

// run generates the response. Generation continues to its end even if the client has timed out in the meantime.
func (c *Client) run(id string, req Request, finish func(ok bool, retryAfter time.Duration)) {
	c.pool.Submit(&Job{
		ID: id, Prompt: req.Blocks, PromptTokens: req.PromptTokens, ResponseTokens: req.ResponseTokens,
		EstimatedTokens: int64(c.user.MeanResponseTokens),
		Done: func(Result) {
			finish(true, 0)
			c.queue.done(id, int64(req.ResponseTokens))
		},
	})
}
