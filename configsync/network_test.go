package configsync

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/radishshelf/radishshelf/configstore"
	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/rpc"
	"github.com/radishshelf/radishshelf/standin/memory"
)

// network connects entries in one process. A call across a partition hangs until its deadline.
type network struct {
	mem       *memory.Platform
	headReads atomic.Int64 // number of reads of config/head

	mu      sync.Mutex
	entries map[string]*Syncer
	// side is the side of a partition by address. Entries on different sides cannot reach each other; the table is on
	// side 0.
	side map[string]int
	// callDelay is the time that a call takes to arrive.
	callDelay time.Duration
}

func newNetwork() *network {
	return &network{mem: memory.New(memory.Options{}), entries: map[string]*Syncer{}, side: map[string]int{}}
}

func address(n int) string { return fmt.Sprintf("127.0.0.1:%d", 7000+n) }

// startEntry runs entry n of total in data centre dc until ctx ends.
func (w *network) startEntry(ctx context.Context, n, total int, dc string) *Syncer {
	var peers []string
	for i := range total {
		peers = append(peers, address(i))
	}
	own := address(n)
	s := New(Options{
		Name: fmt.Sprintf("entry-%d", n), PeerAddress: own, DataCentre: dc, Incarnation: "i", Peers: peers,
		Source: tableSource{Store: configstore.New(w.mem.Table), network: w, address: own},
		Dial:   func(to string) rpc.Peer { return peerLink{network: w, from: own, to: to} },
	})
	w.mu.Lock()
	w.entries[own] = s
	w.mu.Unlock()
	go func() { _ = s.Run(ctx) }()
	return s
}

func (w *network) setSide(side int, entries ...int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range entries {
		w.side[address(n)] = side
	}
}

func (w *network) setCallDelay(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.callDelay = d
}

// waitCallDelay waits until a call arrives. It returns an error if ctx ends first.
func (w *network) waitCallDelay(ctx context.Context) error {
	w.mu.Lock()
	d := w.callDelay
	w.mu.Unlock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

func (w *network) reachable(from, to string) *Syncer {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.side[from] != w.side[to] {
		return nil
	}
	return w.entries[to]
}

// peerLink is the client of one entry for another.
type peerLink struct {
	rpc.Peer
	network  *network
	from, to string
}

func (l peerLink) Sync(ctx context.Context, req *rpc.SyncRequest) (*rpc.SyncResponse, error) {
	target := l.network.reachable(l.from, l.to)
	if target == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if err := l.network.waitCallDelay(ctx); err != nil {
		return nil, err
	}
	return target.HandleSync(ctx, req)
}

// tableSource is the Source of one entry. It fails while the entry is separated from the table.
type tableSource struct {
	*configstore.Store
	network *network
	address string
}

func (s tableSource) Head(ctx context.Context) (int64, error) {
	s.network.mu.Lock()
	cut := s.network.side[s.address] != 0
	s.network.mu.Unlock()
	if cut {
		return 0, errors.New("the entry is separated from the table")
	}
	s.network.headReads.Add(1)
	return s.Store.Head(ctx)
}

func (w *network) write(ctx context.Context, name string) (int64, error) {
	return configstore.New(w.mem.Table).Write(ctx, fleetconfig.KindPolicy, name, fleetconfig.Policy{}, 0)
}
