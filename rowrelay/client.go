package rowrelay

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/radishshelf/radishshelf/hosting"
)

// Timeouts and limits of calls.
const (
	// directTimeout bounds a direct call; a store that is 60 times slower than usual answers in about half of it.
	directTimeout = 900 * time.Millisecond
	// relayTimeout bounds a call through a peer, which itself makes a direct call.
	relayTimeout = 1200 * time.Millisecond
	// initialBackoff and maxBackoff bound how long direct calls are avoided after one failed. The time doubles with each
	// failure.
	initialBackoff = 500 * time.Millisecond
	maxBackoff     = 4 * time.Second
	// maxRelayTries is the maximum number of peers that are tried for one call.
	maxRelayTries = 3
)

// Client calls the store directly, or through a peer while direct calls fail. It implements hosting.Rows.
type Client struct {
	direct hosting.Rows
	// relays returns the peers through which calls may be relayed.
	relays func() []Relay

	mu           sync.Mutex
	ranking      relayRanking
	backoffUntil time.Time
	backoff      time.Duration
	// inFlight holds the calls in progress.
	inFlight map[*attempt]struct{}
	// probesInFlight counts the probes in progress.
	probesInFlight int
}

var _ hosting.Rows = (*Client)(nil)

// New returns a client. relays is called for each call that is not made directly, and must return a new slice each
// time.
func New(direct hosting.Rows, relays func() []Relay) *Client {
	return &Client{direct: direct, relays: relays, ranking: newRelayRanking(), inFlight: map[*attempt]struct{}{}}
}

// Relaying reports whether calls currently go through peers first.
func (c *Client) Relaying() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.backoffUntil)
}

// Commit implements hosting.Rows. It does not repeat a transaction whose effect is unknown.
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

// operation is one call of the store, directly or through a peer.
type operation[T any] func(ctx context.Context, rows hosting.Rows) (T, error)

// call makes a direct call and then tries peers. During the backoff of direct calls, peers are tried first.
func call[T any](ctx context.Context, c *Client, wait time.Duration, do operation[T]) (T, error) {
	if !c.Relaying() {
		result, err := callDirect(ctx, c, wait, do)
		if !canRetryElsewhere(err) {
			return result, err
		}
		if relayed, relayErr := callThroughRelays(ctx, c, wait, do); !canRetryElsewhere(relayErr) {
			return relayed, relayErr
		}
		return result, err
	}
	result, err := callThroughRelays(ctx, c, wait, do)
	if !canRetryElsewhere(err) {
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

// errNoRelay is the error of a relayed call when no peer is known.
var errNoRelay = &hosting.Error{
	Kind: hosting.KindUnavailable, Op: "relay", Remedy: "wait until the store answers or a peer is known",
}

func callThroughRelays[T any](ctx context.Context, c *Client, wait time.Duration, do operation[T]) (T, error) {
	relays := c.rankedRelays(ctx)
	var result T
	var err error = errNoRelay
	for _, relay := range relays[:min(maxRelayTries, len(relays))] {
		if ctx.Err() != nil {
			break
		}
		result, err = callRelay(ctx, c, relay.Rows, wait, do)
		c.recordRelayResult(ctx, relay.Name, err)
		if !canRetryElsewhere(err) {
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

// rankedRelays returns the peers to try, in this order, among those that may see what is called.
func (c *Client) rankedRelays(ctx context.Context) []Relay {
	regions := regionsOf(ctx)
	relays := slices.DeleteFunc(c.relays(), func(r Relay) bool { return !regions.Allows(r.Region) })
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ranking.rank(relays, time.Now())
}

// recordRelayResult updates the ranking of a peer with the result of a call through it.
func (c *Client) recordRelayResult(ctx context.Context, name string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if canRetryElsewhere(err) || hosting.IsKind(err, hosting.KindUnknown) {
		if ctx.Err() == nil {
			c.ranking.recordFailure(name, time.Now())
		}
		return
	}
	c.ranking.recordSuccess(name)
}

// canRetryElsewhere reports whether a call failed without effect for a reason that may not apply to another peer or the
// direct connection.
func canRetryElsewhere(err error) bool {
	return hosting.IsKind(err, hosting.KindUnavailable) || hosting.IsKind(err, hosting.KindLimited)
}

// recordDirectResult updates the backoff of direct calls with the result of one.
func (c *Client) recordDirectResult(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var failed *hosting.Error
	if !errors.As(err, &failed) || !canRetryElsewhere(err) && failed.Kind != hosting.KindUnknown {
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
