package usage

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/radishshelf/radishshelf/dataplane"
)

// maxDeadIncarnations bounds the dead incarnations that are remembered because their responses may still arrive. A
// fleet of 680 agents with 250 restarts a day takes weeks to reach the limit.
const maxDeadIncarnations = 8192

// maxRecoveryRecords keeps the row of a recovery batch under about 100 KB.
const maxRecoveryRecords = 500

// incarnationKey identifies one incarnation of an agent.
type incarnationKey struct{ agent, incarnation string }

// incarnationState holds the records of one incarnation that are not known to be durable, and the highest sequence
// number that the agent reported as flushed.
type incarnationState struct {
	records    map[int64]Record
	flushedSeq int64
}

// Retainer keeps, on an entry, the usage record of each response until the agent reports it as flushed. When the
// agent's incarnation dies, the remaining records become recovery batches. It is safe for concurrent use.
//
// Invariant: a retained record is dropped only after its agent reported it as flushed or MarkRecovered covered it.
type Retainer struct {
	source string
	limit  int

	mu           sync.Mutex
	incarnations map[incarnationKey]*incarnationState
	dead         map[incarnationKey]bool
	deadOrder    []incarnationKey
	batches      []Batch
	lastNumber   int64
	recordCount  int
	dropped      int64
}

// NewRetainer returns a Retainer that holds at most limit records. The source identifies this process in recovery
// batches and must be unique across its restarts.
func NewRetainer(source string, limit int) *Retainer {
	return &Retainer{
		source: source, limit: limit, incarnations: map[incarnationKey]*incarnationState{}, dead: map[incarnationKey]bool{},
	}
}

// Retain keeps the usage record of a response that an agent returned at the given time.
func (r *Retainer) Retain(request, workspace, policy string, result dataplane.Result, now time.Time) {
	if result.UsageSeq <= 0 {
		return
	}
	rec := Record{
		Seq: result.UsageSeq, RequestID: request, Workspace: workspace, Policy: policy,
		PromptTokens: result.PromptTokens, CompletionTokens: result.CompletionTokens, FinishedAt: now.UTC(),
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	p := incarnationKey{agent: result.Upstream, incarnation: result.Incarnation}
	state := r.stateOf(p)
	if _, held := state.records[rec.Seq]; held || rec.Seq <= state.flushedSeq {
		return
	}
	if r.recordCount >= r.limit {
		r.dropped++
		return
	}
	state.records[rec.Seq] = rec
	r.recordCount++
	if r.dead[p] {
		r.queueRecovery(p)
	}
}

func (r *Retainer) stateOf(p incarnationKey) *incarnationState {
	state := r.incarnations[p]
	if state == nil {
		state = &incarnationState{records: map[int64]Record{}}
		r.incarnations[p] = state
	}
	return state
}

// Flushed drops the records that the agent's heartbeat reports as durable. It also undoes Dead for the incarnation,
// because only a live agent sends heartbeats.
func (r *Retainer) Flushed(agent, incarnation string, throughSeq int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := incarnationKey{agent: agent, incarnation: incarnation}
	if r.dead[p] {
		delete(r.dead, p)
		r.deadOrder = slices.DeleteFunc(r.deadOrder, func(q incarnationKey) bool { return q == p })
	}
	state := r.stateOf(p)
	state.flushedSeq = max(state.flushedSeq, throughSeq)
	for seq := range state.records {
		if seq <= state.flushedSeq {
			delete(state.records, seq)
			r.recordCount--
		}
	}
}

// Dead records that an incarnation will flush nothing more. It queues its unflushed records as recovery batches;
// records of responses that arrive later go into further batches.
func (r *Retainer) Dead(agent, incarnation string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := incarnationKey{agent: agent, incarnation: incarnation}
	if !r.dead[p] {
		r.addDead(p)
	}
	r.queueRecovery(p)
}

func (r *Retainer) addDead(p incarnationKey) {
	r.dead[p] = true
	r.deadOrder = append(r.deadOrder, p)
	if len(r.deadOrder) <= maxDeadIncarnations {
		return
	}
	delete(r.dead, r.deadOrder[0])
	delete(r.incarnations, r.deadOrder[0])
	r.deadOrder = slices.Delete(r.deadOrder, 0, 1)
}

// queueRecovery moves the records of p to recovery batches. The flushed sequence number of p is kept until addDead
// evicts p. The caller holds mu.
func (r *Retainer) queueRecovery(p incarnationKey) {
	state := r.incarnations[p]
	if state == nil || len(state.records) == 0 {
		return
	}
	records := slices.SortedFunc(maps.Values(state.records), func(a, b Record) int { return cmp.Compare(a.Seq, b.Seq) })
	clear(state.records)
	for chunk := range slices.Chunk(records, maxRecoveryRecords) {
		r.lastNumber++
		r.batches = append(r.batches, Batch{
			Agent: p.agent, Incarnation: p.incarnation, Source: r.source, Number: r.lastNumber, Records: slices.Clone(chunk),
		})
	}
}

// NextRecoveryBatch returns the oldest recovery batch. It returns the same batch until MarkRecovered is called for it.
func (r *Retainer) NextRecoveryBatch() (Batch, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.batches) == 0 {
		return Batch{}, false
	}
	return r.batches[0], true
}

// MarkRecovered records that a recovery batch is durable and drops it.
func (r *Retainer) MarkRecovered(b Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, held := range r.batches {
		if held.Number == b.Number {
			r.batches = slices.Delete(r.batches, i, i+1)
			r.recordCount -= len(held.Records)
			return
		}
	}
}

// Len returns the number of records in memory.
func (r *Retainer) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recordCount
}

// Dropped returns the number of records that were not kept because the limit was reached. They are lost if their agent
// dies before it flushes them.
func (r *Retainer) Dropped() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}
