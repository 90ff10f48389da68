package rowrelay

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/radishshelf/radishshelf/hosting"
)

// Times of a call.
const (
	// directTimeout bounds a direct call; a store that is 60 times slower than usual answers in about half of it.
	directTimeout = 900 * time.Millisecond
	// relayTimeout bounds a call through a peer, which itself makes a direct call.
	relayTimeout = 1200 * time.Millisecond
	// initialBackoff and maxAvoid are how long the direct way is left alone after it failed; the time doubles.
	initialBackoff = 500 * time.Millisecond
	maxBackoff     = 4 * time.Second
	// maxRelayTries is how many peers are asked for one call.
	maxRelayTries = 3
)

// Client makes calls directly, or through a peer while the direct way fails. It implements hosting.Rows.
type Client struct {
	direct hosting.Rows
	// relays returns the processes through which calls may go.
	relays func() []Relay

	mu           sync.Mutex
	ranking      relayRanking
	backoffUntil time.Time
	backoff      time.Duration
	// inFlight holds the calls on their way.
	inFlight map[*attempt]struct{}
	// probesInFlight counts the probesInFlight on their way.
	probesInFlight int
}

var _ hosting.Rows = (*Client)(nil)

// New returns a client. peers is called for each call that cannot go directly.
func New(direct hosting.Rows, relays func() []Relay) *Client {
	return &Client{direct: direct, relays: relays, ranking: newRelayRanking(), inFlight: map[*attempt]struct{}{}}
}

// Relaying reports whether calls go through peers now.
func (c *Client) Relaying() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.backoffUntil)
}

// Commit implements hosting.Rows. A transaction whose effect is unknown is not repeated here.
func (c *Client) Commit(ctx context.Context, txn hosting.RowTxn) (hosting.RowTxnResult, error) {
	return call(ctx, c, 0, func(ctx context.Context, r hosting.Rows) (hosting.RowTxnResult, error) {
		return r.Commit(ctx, txn)
	})
}

// Range implements hosting.Rows.
func (c *Client) Range(ctx context.Context, rng hosting.RowRange) (hosting.RowPage, error) {
	return call(ctx, c, 0, func(ctx context.Context, r hosting.Rows) (hosting.RowPage, error) { return r.Range(ctx, rng) })
}

// Parts implements hosting.Rows.
func (c *Client) Parts(ctx context.Context, table string) ([]string, error) {
	return call(ctx, c, 0, func(ctx context.Context, r hosting.Rows) ([]string, error) { return r.Parts(ctx, table) })
}

// Changes implements hosting.Rows.
func (c *Client) Changes(
	ctx context.Context, table string, after int64, wait time.Duration,
) (hosting.RowChanges, error) {
	return call(ctx, c, wait, func(ctx context.Context, r hosting.Rows) (hosting.RowChanges, error) {
		return r.Changes(ctx, table, after, wait)
	})
}

// operation is one call on any of the ways to the store.
type operation[T any] func(ctx context.Context, rows hosting.Rows) (T, error)

// call tries the direct way and then peers; while the direct way is left alone, peers come first.
func call[T any](ctx context.Context, c *Client, wait time.Duration, do operation[T]) (T, error) {
	if !c.Relaying() {
		result, err := callDirect(ctx, c, wait, do)
		if !hadNoEffect(err) {
			return result, err
		}
		if relayed, relayErr := callThroughRelays(ctx, c, wait, do); !hadNoEffect(relayErr) {
			return relayed, relayErr
		}
		return result, err
	}
	result, err := callThroughRelays(ctx, c, wait, do)
	if !hadNoEffect(err) {
		return result, err
	}
	return callDirect(ctx, c, wait, do)
}

func callDirect[T any](ctx context.Context, c *Client, wait time.Duration, do operation[T]) (T, error) {
	ctx, a := c.beginAttempt(ctx, directTimeout+wait)
	result, err := do(ctx, c.direct)
	c.endAttempt(a)
	c.recordDirectResult(err)
	return result, err
}

// errNoRelay means that no peer is known.
var errNoRelay = &hosting.Error{
	Kind: hosting.KindUnavailable, Op: "relay", Remedy: "wait until the store answers or a peer is known",
}

func callThroughRelays[T any](ctx context.Context, c *Client, wait time.Duration, do operation[T]) (T, error) {
	relays := c.rankedRelays()
	var result T
	var err error = errNoRelay
	for _, relay := range relays[:min(maxRelayTries, len(relays))] {
		if ctx.Err() != nil {
			break
		}
		result, err = callRelay(ctx, c, relay.Rows, wait, do)
		c.recordRelayResult(ctx, relay.Name, err)
		if !hadNoEffect(err) {
			break
		}
	}
	return result, err
}

func callRelay[T any](ctx context.Context, c *Client, relay hosting.Rows, wait time.Duration, do operation[T]) (T, error) {
	ctx, a := c.beginAttempt(ctx, relayTimeout+wait)
	defer c.endAttempt(a)
	return do(ctx, relay)
}

func (c *Client) rankedRelays() []Relay {
	relays := c.relays()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ranking.rank(relays, time.Now())
}

// recordRelayResult learns from a call through a peer whether that way works.
func (c *Client) recordRelayResult(ctx context.Context, name string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if hadNoEffect(err) || hosting.IsKind(err, hosting.KindUnknown) {
		if ctx.Err() == nil {
			c.ranking.recordFailure(name, time.Now())
		}
		return
	}
	c.ranking.recordSuccess(name)
}

// hadNoEffect reports whether another way may serve a call: it failed and surely had no effect.
func hadNoEffect(err error) bool {
	return hosting.IsKind(err, hosting.KindUnavailable) || hosting.IsKind(err, hosting.KindLimited)
}

// recordDirectResult learns from a direct call whether the direct way works.
func (c *Client) recordDirectResult(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var failed *hosting.Error
	if !errors.As(err, &failed) || !hadNoEffect(err) && failed.Kind != hosting.KindUnknown {
		if c.backoff > 0 {
			c.cancelHungAttempts(time.Now())
		}
		c.backoff, c.backoffUntil = 0, time.Time{}
		return
	}
	if errors.Is(err, context.Canceled) {
		return
	}
	c.backoff = min(max(2*c.backoff, initialBackoff), maxBackoff)
	c.backoffUntil = time.Now().Add(c.backoff)
}
