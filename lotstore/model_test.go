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

// The fixed seed makes results reproducible; flags override both values. With the default of 100 checks, a lost reply
// that is mistaken for a successful commit goes undetected.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

const testTrainer = "coach/1"

var testSpec = lots.Spec{MaxStaleness: 2, LotSamples: 4}

// interleavingTable runs an action before one commit, that is, between the reads and the write of a call.
type interleavingTable struct {
	hosting.Table
	skipCommits  int
	beforeCommit func()
	// lostReplies is the number of upcoming commits whose reply is lost. They take effect on deliver, if at all.
	lostReplies int
	undelivered []hosting.Txn
}

func (i *interleavingTable) Commit(ctx context.Context, txn hosting.Txn) (hosting.TxnResult, error) {
	if then := i.beforeCommit; then != nil {
		if i.skipCommits == 0 {
			i.beforeCommit = nil
			then()
		}
		i.skipCommits--
	}
	if i.lostReplies > 0 {
		i.lostReplies--
		i.undelivered = append(i.undelivered, txn)
		return hosting.TxnResult{}, &hosting.Error{Kind: hosting.KindUnknown, Op: "table commit"}
	}
	return i.Table.Commit(ctx, txn)
}

func (i *interleavingTable) deliver(ctx context.Context) {
	for _, txn := range i.undelivered {
		_, _ = i.Table.Commit(ctx, txn)
	}
	i.undelivered = nil
}

// model simulates two entries, a trainer and a platform with faults, and records what the trainer received.
type model struct {
	t        *rapid.T
	spec     lots.Spec
	platform *memory.Platform
	table    *interleavingTable
	entries  [2]*Store
	ctx      [2]context.Context
	cancel   [2]context.CancelFunc
	// acknowledged holds the groups whose AddGroup returned nil. It is guarded by mu.
	mu           sync.Mutex
	acknowledged map[string]bool
	sizes        map[string]int
	step         int64
	// after is the last lot that the trainer has stored, seen its samples, contents the content by lot number.
	after    int64
	seen     map[string]bool
	contents map[int64][]byte
	voidLots map[int64]bool
	// unreadable holds the values of the unreadable ready rows by key, durable the keys whose write had no error.
	unreadable map[string]string
	durable    []string
}

func newModel(t *rapid.T) *model {
	m := &model{
		t: t, platform: memory.New(memory.Options{}), acknowledged: map[string]bool{}, sizes: map[string]int{}, step: 3,
		seen: map[string]bool{}, contents: map[int64][]byte{}, voidLots: map[int64]bool{},
		unreadable: map[string]string{},
		spec:       testSpec,
	}
	m.spec.Order = rapid.SampledFrom([]lots.Order{lots.OrderOldest, lots.OrderFreshest}).Draw(t, "order")
	m.table = &interleavingTable{Table: m.platform.Table}
	m.restart(0)
	m.restart(1)
	return m
}

// restart stops an entry, discarding its buffers, and starts a new one.
func (m *model) restart(i int) {
	if m.cancel[i] != nil {
		m.cancel[i]()
	}
	m.ctx[i], m.cancel[i] = context.WithCancel(context.Background())
	m.entries[i] = newTestStoreWithSpec(m.spec, m.table, m.platform.Objects, func() (GroupHolder, bool) { return m.entries[1-i], true })
}

func newTestStore(table hosting.Table, objects hosting.Objects, peer func() (GroupHolder, bool)) *Store {
	return newTestStoreWithSpec(testSpec, table, objects, peer)
}

func newTestStoreWithSpec(spec lots.Spec, table hosting.Table, objects hosting.Objects, peer func() (GroupHolder, bool)) *Store {
	return New(Options{
		Table: table, Objects: objects, Peer: peer, Name: "test", MaxPendingBytes: 20_000, Retention: time.Hour,
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

// add starts AddGroup on an entry. It may return only after a later retry.
func (m *model) add(i int, id string, version int64) {
	size := m.sizes[id]
	if size == 0 {
		size = 1 + len(m.sizes)%3
		m.sizes[id] = size
	}
	g := testGroup(id, fmt.Sprintf("by entry %d", i), size, version)
	entry, ctx := m.entries[i], m.ctx[i]
	go func() {
		if entry.AddGroup(ctx, g) == nil {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.acknowledged[id] = true
		}
	}()
	synctest.Wait()
}

// addUnreadable adds an unreadable ready row.
func (m *model) addUnreadable() {
	put := unreadableRow(len(m.unreadable), time.Now())
	m.unreadable[put.Key] = string(put.Value)
	if _, err := m.platform.Table.Commit(context.Background(), hosting.Txn{Puts: []hosting.Put{put}}); err == nil {
		m.durable = append(m.durable, put.Key)
	}
}

// pull makes one pull by the trainer and reports whether it made progress. The trainer receives the reply unless lost
// is set.
func (m *model) pull(i int, lost bool) bool {
	step := m.step
	lot, content, err := m.entries[i].Pull(m.ctx[i], testTrainer, m.after, step)
	var void *lots.VoidError
	if errors.As(err, &void) && !lost {
		m.voidLots[void.Number] = true
		m.after = void.Number
		return true
	}
	if err != nil {
		return false
	}
	if first := m.contents[lot.Number]; first != nil && !bytes.Equal(first, content) {
		m.t.Fatalf("lot %d has different content on a repeated pull", lot.Number)
	}
	m.contents[lot.Number] = content
	var c lots.Content
	if err := json.Unmarshal(content, &c); err != nil {
		m.t.Fatal(err)
	}
	for _, s := range c.Samples {
		if samples.Stale(step, s.OldestVersion(), testSpec.MaxStaleness) {
			m.t.Fatalf("stale sample %s of version %d delivered at step %d", s.ID, s.OldestVersion(), step)
		}
	}
	if !lost && lot.Number == m.after+1 {
		m.consume(c)
	}
	return true
}

// consume records that the trainer has trained on a lot and stored its number.
func (m *model) consume(c lots.Content) {
	for _, s := range c.Samples {
		if m.seen[s.ID] {
			m.t.Fatalf("sample %s reached the trainer twice", s.ID)
		}
		m.seen[s.ID] = true
	}
	m.after = c.Number
}

func (m *model) endFaults() {
	m.table.beforeCommit = nil
	m.table.lostReplies = 0
	m.table.deliver(context.Background())
	for _, service := range memory.AllServices() {
		faults, _ := m.platform.FaultInjector(service)
		faults.Set(memory.Faults{})
	}
	for range 2 {
		for i := range m.entries {
			m.entries[i].Retry(m.ctx[i])
			synctest.Wait()
		}
	}
}
