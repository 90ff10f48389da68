package measure

import (
	"fmt"
	"time"

	"github.com/radishshelf/radishshelf/admission"
)

// timeoutPerToken gives a client's timeout for the mean answer: five and a half times its running time.
const timeoutPerToken = 200 * time.Millisecond

// Client sends requests through a gate to a pool, and repeats them when it is allowed attempts.
type Client struct {
	sim      *Sim
	user     User
	pool     *Pool
	gate     gate
	prompts  *RequestGenerator
	attempts int
	serial   int
	// Attempts counts attempts and Requests counts different requests.
	Attempts int
	Requests int
	// ended is called at the end of each attempt.
	ended func(a attempt)
}

// attempt is one try of a request.
type attempt struct {
	workspace int
	number    int
	weight    float64
	prompt    Request
	begin     time.Time
	// end is when the answer arrived or the attempt was given up.
	end time.Time
	ok  bool
}

// Send starts a request of a workspace.
func (c *Client) Send(workspace int, weight float64) {
	c.Requests++
	c.try(attempt{workspace: workspace, weight: weight, number: 1, prompt: c.prompts.Next()})
}

func (c *Client) timeout() time.Duration {
	return time.Duration(c.user.MeanResponseTokens * float64(timeoutPerToken))
}

func (c *Client) try(a attempt) {
	c.Attempts++
	c.serial++
	id := fmt.Sprint(c.serial)
	a.begin = c.sim.Now()
	over := false
	finish := func(ok bool, again time.Duration) {
		if over {
			return
		}
		over = true
		a.ok, a.end = ok, c.sim.Now()
		c.ended(a)
		if ok || a.number >= c.attempts {
			return
		}
		a.number++
		c.sim.After(again, func() { c.try(a) })
	}
	c.sim.After(c.timeout(), func() {
		if !over {
			c.gate.leave(id)
		}
		finish(false, 0)
	})
	c.gate.offer(waiting{
		item: admission.Item{
			ID: id, Workspace: fmt.Sprint(a.workspace), Weight: a.weight, Cost: int64(c.user.MeanResponseTokens),
			Deadline: a.begin.Add(c.timeout()),
		},
		run:    func() { c.run(id, a.prompt, finish) },
		refuse: func(retryAfter time.Duration) { finish(false, retryAfter) },
	})
}

// run generates the answer. It runs to its end even when the client has left meanwhile.
func (c *Client) run(id string, p Request, finish func(ok bool, again time.Duration)) {
	c.pool.Submit(&Job{
		ID: id, Prompt: p.Blocks, PromptTokens: p.PromptTokens, ResponseTokens: p.ResponseTokens, EstimatedTokens: int64(c.user.MeanResponseTokens),
		Done: func(Result) {
			finish(true, 0)
			c.gate.done(id, int64(p.ResponseTokens))
		},
	})
}
