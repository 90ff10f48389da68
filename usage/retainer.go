package usage

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/radishshelf/radishshelf/dataplane"
)

// maxDeadRemembered bounds the memory of dead incarnations, whose answers may still arrive. A fleet of 680 agents with
// 250 restarts a day needs weeks to fill it.
const maxDeadRemembered = 8192

// maxRecoveryRecords keeps the row of a recovery batch under about 100 KB.
const maxRecoveryRecords = 500

// process is one incarnation of an agent.
type process struct{ agent, incarnation string }

// retained holds the records of one incarnation that are not known to be durable.
type retained struct {
	records map[int64]Record
	flushed int64
}

// Retainer keeps, on an entry, the usage record of each answer until the agent reports it flushed. When the agent's
// incarnation is dead, the rest becomes recovery batches. It is safe for concurrent use.
//
// Invariant: a retained record is dropped only when its agent reported it flushed or Recovered covered it.
type Retainer struct {
	source string
	limit  int

	mu      sync.Mutex
	live    map[process]*retained
	dead    map[process]bool
	deadAge []process
	batches []Batch
	number  int64
	size    int
	dropped int64
}

// NewRetainer returns a Retainer that holds at most limit records. The source names this process in recovery batches
// and is unique over its restarts.
func NewRetainer(source string, limit int) *Retainer {
	return &Retainer{source: source, limit: limit, live: map[process]*retained{}, dead: map[process]bool{}}
}

// Retain keeps the record of an answer that an agent returned at the given time.
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
	p := process{agent: result.Upstream, incarnation: result.Incarnation}
	known := r.state(p)
	if _, held := known.records[rec.Seq]; held || rec.Seq <= known.flushed {
		return
	}
	if r.size >= r.limit {
		r.dropped++
		return
	}
	known.records[rec.Seq] = rec
	r.size++
	if r.dead[p] {
		r.cut(p)
	}
}

func (r *Retainer) state(p process) *retained {
	known := r.live[p]
	if known == nil {
		known = &retained{records: map[int64]Record{}}
		r.live[p] = known
	}
	return known
}

// Flushed drops the records that the agent's heartbeat reports as durable. It also takes back a Dead of the incarnation,
// because only a living agent sends heartbeats.
func (r *Retainer) Flushed(agent, incarnation string, throughSeq int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := process{agent: agent, incarnation: incarnation}
	if r.dead[p] {
		delete(r.dead, p)
		r.deadAge = slices.DeleteFunc(r.deadAge, func(q process) bool { return q == p })
	}
	known := r.state(p)
	known.flushed = max(known.flushed, throughSeq)
	for seq := range known.records {
		if seq <= known.flushed {
			delete(known.records, seq)
			r.size--
		}
	}
}

// Dead states that an incarnation will flush nothing more. It queues a recovery batch of the records that were not
// flushed; answers that arrive later get batches of their own.
func (r *Retainer) Dead(agent, incarnation string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := process{agent: agent, incarnation: incarnation}
	if !r.dead[p] {
		r.remember(p)
	}
	r.cut(p)
}

func (r *Retainer) remember(p process) {
	r.dead[p] = true
	r.deadAge = append(r.deadAge, p)
	if len(r.deadAge) <= maxDeadRemembered {
		return
	}
	delete(r.dead, r.deadAge[0])
	delete(r.live, r.deadAge[0])
	r.deadAge = slices.Delete(r.deadAge, 0, 1)
}

// cut moves the records of p to recovery batches. The mark of what was flushed stays until p is forgotten.
func (r *Retainer) cut(p process) {
	known := r.live[p]
	if known == nil || len(known.records) == 0 {
		return
	}
	records := slices.SortedFunc(maps.Values(known.records), func(a, b Record) int { return cmp.Compare(a.Seq, b.Seq) })
	clear(known.records)
	for chunk := range slices.Chunk(records, maxRecoveryRecords) {
		r.number++
		r.batches = append(r.batches, Batch{
			Agent: p.agent, Incarnation: p.incarnation, Source: r.source, Number: r.number, Records: slices.Clone(chunk),
		})
	}
}

// NextRecoveryBatch returns the oldest recovery batch. The same batch is returned until Recovered.
func (r *Retainer) NextRecoveryBatch() (Batch, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.batches) == 0 {
		return Batch{}, false
	}
	return r.batches[0], true
}

// MarkRecovered states that a recovery batch is durable.
func (r *Retainer) MarkRecovered(b Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, held := range r.batches {
		if held.Number == b.Number {
			r.batches = slices.Delete(r.batches, i, i+1)
			r.size -= len(held.Records)
			return
		}
	}
}

// Len returns the number of records in memory.
func (r *Retainer) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.size
}

// Dropped counts the records that were not kept because the limit was reached; they are lost if their agent dies.
func (r *Retainer) Dropped() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}
