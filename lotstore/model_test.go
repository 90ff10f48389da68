package lotstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"sync"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/radishshelf/radishshelf/dataplane"
	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/lots"
	"github.com/radishshelf/radishshelf/samples"
	"github.com/radishshelf/radishshelf/standin/memory"
	"github.com/radishshelf/radishshelf/telemetry"
)

// A fixed seed gives the same verdict on every run; flags override both values. With 100 checks, the default, a lost
// reply that is taken for a commit goes undetected.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

const testTrainer = "coach/1"

var testSpec = lots.Spec{MaxStaleness: 2, LotSamples: 4}

// interleaver runs another action before one commit, to place it between the reads and the write of a call.
type interleaver struct {
	hosting.Table
	skip int
	then func()
	// delay is the number of coming commits whose reply is lost and that take effect at deliver, if at all.
	delay   int
	delayed []hosting.Txn
}

func (i *interleaver) Commit(ctx context.Context, txn hosting.Txn) (hosting.TxnResult, error) {
	if then := i.then; then != nil {
		if i.skip == 0 {
			i.then = nil
			then()
		}
		i.skip--
	}
	if i.delay > 0 {
		i.delay--
		i.delayed = append(i.delayed, txn)
		return hosting.TxnResult{}, &hosting.Error{Kind: hosting.KindUnknown, Op: "table commit"}
	}
	return i.Table.Commit(ctx, txn)
}

func (i *interleaver) deliver(ctx context.Context) {
	for _, txn := range i.delayed {
		_, _ = i.Table.Commit(ctx, txn)
	}
	i.delayed = nil
}

// world is two entries, a trainer and a platform with faults.
type world struct {
	t        *rapid.T
	spec     lots.Spec
	platform *memory.Platform
	table    *interleaver
	entries  [2]*Store
	ctx      [2]context.Context
	cancel   [2]context.CancelFunc
	// acked are the groups whose AddGroup returned nil; mu guards it.
	mu    sync.Mutex
	acked map[string]bool
	sizes map[string]int
	step  int64
	// after is the trainer's durable state; seen its samples, lots the bytes by number.
	after int64
	seen  map[string]bool
	bytes map[int64][]byte
	void  map[int64]bool
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, platform: memory.New(memory.Options{}), acked: map[string]bool{}, sizes: map[string]int{}, step: 3,
		seen: map[string]bool{}, bytes: map[int64][]byte{}, void: map[int64]bool{},
		spec: testSpec,
	}
	w.spec.Order = rapid.SampledFrom([]lots.Order{lots.Oldest, lots.Freshest}).Draw(t, "order")
	w.table = &interleaver{Table: w.platform.Table}
	w.restart(0)
	w.restart(1)
	return w
}

// restart kills an entry with its buffers and starts a new one.
func (w *world) restart(i int) {
	if w.cancel[i] != nil {
		w.cancel[i]()
	}
	w.ctx[i], w.cancel[i] = context.WithCancel(context.Background())
	w.entries[i] = newSpecStore(w.spec, w.table, w.platform.Objects, func() (Holder, bool) { return w.entries[1-i], true })
}

func newTestStore(table hosting.Table, objects hosting.Objects, peer func() (Holder, bool)) *Store {
	return newSpecStore(testSpec, table, objects, peer)
}

func newSpecStore(spec lots.Spec, table hosting.Table, objects hosting.Objects, peer func() (Holder, bool)) *Store {
	return New(Options{
		Table: table, Objects: objects, Peer: peer, Name: "test", MaxWaitingBytes: 20_000, Retention: time.Hour,
		Spec: func(string) (lots.Spec, bool) { return spec, true },
		Log:  zerolog.Nop(), Registry: telemetry.NewRegistry(),
	})
}

func testGroup(id, text string, size int, version int64) samples.Group {
	b := samples.NewGroupBuilder(testTrainer, "planner", id, size)
	for i := range size {
		b.Add(samples.Generation{
			Group: id, Index: i, Completion: text, Messages: json.RawMessage(`[]`),
			Result: dataplane.Result{CompletionTokens: 3, Spans: []dataplane.Span{{Version: version, Tokens: 3}}},
		})
	}
	g, _ := b.Group()
	return g
}

// add starts AddGroup at an entry. Its result may come at a later retry.
func (w *world) add(i int, id string, version int64) {
	size := w.sizes[id]
	if size == 0 {
		size = 1 + len(w.sizes)%3
		w.sizes[id] = size
	}
	g := testGroup(id, fmt.Sprintf("by entry %d", i), size, version)
	entry, ctx := w.entries[i], w.ctx[i]
	go func() {
		if entry.AddGroup(ctx, g) == nil {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.acked[id] = true
		}
	}()
	synctest.Wait()
}

// pull is one pull by the trainer. The reply reaches it unless lost.
func (w *world) pull(i int, lost bool) bool {
	step := w.step
	lot, content, err := w.entries[i].Pull(w.ctx[i], testTrainer, w.after, step)
	var void *lots.VoidError
	if errors.As(err, &void) && !lost {
		w.void[void.Number] = true
		w.after = void.Number
		return true
	}
	if err != nil {
		return false
	}
	if first := w.bytes[lot.Number]; first != nil && !bytes.Equal(first, content) {
		w.t.Fatalf("lot %d has other bytes on a repeated pull", lot.Number)
	}
	w.bytes[lot.Number] = content
	var c lots.Content
	if err := json.Unmarshal(content, &c); err != nil {
		w.t.Fatal(err)
	}
	for _, s := range c.Samples {
		if samples.Stale(step, s.OldestVersion(), testSpec.MaxStaleness) {
			w.t.Fatalf("sample %s of version %d handed over at step %d", s.ID, s.OldestVersion(), step)
		}
	}
	if !lost && lot.Number == w.after+1 {
		w.take(c)
	}
	return true
}

// take trains on a lot and makes its number durable at the trainer.
func (w *world) take(c lots.Content) {
	for _, s := range c.Samples {
		if w.seen[s.ID] {
			w.t.Fatalf("sample %s reached the trainer twice", s.ID)
		}
		w.seen[s.ID] = true
	}
	w.after = c.Number
}

func (w *world) heal() {
	w.table.then = nil
	w.table.delay = 0
	w.table.deliver(context.Background())
	for _, service := range memory.AllServices() {
		faults, _ := w.platform.FaultInjector(service)
		faults.Set(memory.Faults{})
	}
	for range 2 {
		for i := range w.entries {
			w.entries[i].Retry(w.ctx[i])
			synctest.Wait()
		}
	}
}
