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
	// firstAvoid and maxAvoid are how long the direct way is left alone after it failed; the time doubles.
	firstAvoid = 500 * time.Millisecond
	maxAvoid   = 4 * time.Second
	// relayTries is how many peers are asked for one call.
	relayTries = 3
)

// Client makes calls directly, or through a peer while the direct way fails. It implements hosting.Rows.
type Client struct {
	direct hosting.Rows
	// peers returns the processes through which calls may go.
	peers func() []Relay

	mu         sync.Mutex
	ways       wayOrder
	avoidUntil time.Time
	avoid      time.Duration
	// open holds the calls on their way.
	open map[*attempt]struct{}
	// probes counts the probes on their way.
	probes int
}

var _ hosting.Rows = (*Client)(nil)

// New returns a client. peers is called for each call that cannot go directly.
func New(direct hosting.Rows, peers func() []Relay) *Client {
	return &Client{direct: direct, peers: peers, ways: newWayOrder(), open: map[*attempt]struct{}{}}
}

// Relaying reports whether calls go through peers now.
func (c *Client) Relaying() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.avoidUntil)
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
		result, err := directly(ctx, c, wait, do)
		if !turnedAway(err) {
			return result, err
		}
		if relayed, relayErr := throughPeers(ctx, c, wait, do); !turnedAway(relayErr) {
			return relayed, relayErr
		}
		return result, err
	}
	result, err := throughPeers(ctx, c, wait, do)
	if !turnedAway(err) {
		return result, err
	}
	return directly(ctx, c, wait, do)
}

func directly[T any](ctx context.Context, c *Client, wait time.Duration, do operation[T]) (T, error) {
	ctx, a := c.begin(ctx, directTimeout+wait)
	result, err := do(ctx, c.direct)
	c.end(a)
	c.note(err)
	return result, err
}

// errNoPeer means that no peer is known.
var errNoPeer = &hosting.Error{
	Kind: hosting.KindUnavailable, Op: "relay", Remedy: "wait until the store answers or a peer is known",
}

func throughPeers[T any](ctx context.Context, c *Client, wait time.Duration, do operation[T]) (T, error) {
	peers := c.orderedPeers()
	var result T
	var err error = errNoPeer
	for _, peer := range peers[:min(relayTries, len(peers))] {
		if ctx.Err() != nil {
			break
		}
		result, err = relayed(ctx, c, peer.Rows, wait, do)
		c.noteWay(ctx, peer.Name, err)
		if !turnedAway(err) {
			break
		}
	}
	return result, err
}

func relayed[T any](ctx context.Context, c *Client, peer hosting.Rows, wait time.Duration, do operation[T]) (T, error) {
	ctx, a := c.begin(ctx, relayTimeout+wait)
	defer c.end(a)
	return do(ctx, peer)
}

func (c *Client) orderedPeers() []Relay {
	peers := c.peers()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ways.order(peers, time.Now())
}

// noteWay learns from a call through a peer whether that way works.
func (c *Client) noteWay(ctx context.Context, name string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if turnedAway(err) || hosting.IsKind(err, hosting.KindUnknown) {
		if ctx.Err() == nil {
			c.ways.failed(name, time.Now())
		}
		return
	}
	c.ways.worked(name)
}

// turnedAway reports whether another way may serve a call: it failed and surely had no effect.
func turnedAway(err error) bool {
	return hosting.IsKind(err, hosting.KindUnavailable) || hosting.IsKind(err, hosting.KindLimited)
}

// note learns from a direct call whether the direct way works.
func (c *Client) note(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var failed *hosting.Error
	if !errors.As(err, &failed) || !turnedAway(err) && failed.Kind != hosting.KindUnknown {
		if c.avoid > 0 {
			c.endHanging(time.Now())
		}
		c.avoid, c.avoidUntil = 0, time.Time{}
		return
	}
	if errors.Is(err, context.Canceled) {
		return
	}
	c.avoid = min(max(2*c.avoid, firstAvoid), maxAvoid)
	c.avoidUntil = time.Now().Add(c.avoid)
}
