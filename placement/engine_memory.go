package placement

import "time"

const (
	// initialMemoryQueries is how many engines of a service are queried for their memory size immediately. The others
	// are assumed to have as much until it is their turn.
	initialMemoryQueries = 2
	// memoryQueryInterval is the time between further queries. A query costs a connection; an engine of a different
	// size is found within as many intervals as there are engines.
	memoryQueryInterval = 5 * time.Second
	// memoryQueryRetryDelay is the minimum time before an engine that did not answer is queried again.
	memoryQueryRetryDelay = 5 * time.Second
)

// EngineMemory holds the memory sizes reported by the engines of a service. K identifies an incarnation of an engine.
// It is not safe for concurrent use.
type EngineMemory[K comparable] struct {
	engines map[K]memoryReport
	// queried counts the engines that have answered or are being queried, and lastQuery is the time of the last query.
	queried   int
	lastQuery time.Time
	minTokens int
}

// memoryReport is the memory of an engine in tokens, 0 until it has answered, and the time of the last query.
type memoryReport struct {
	tokens    int
	queriedAt time.Time
}

// Lookup returns the memory of an engine in tokens: the size that it reported, or else the smallest size that another
// engine reported, or 0 if none has answered. If query is true, the caller should query this engine now.
func (e *EngineMemory[K]) Lookup(engine K, now time.Time) (tokens int, query bool) {
	m, known := e.engines[engine]
	if m.tokens > 0 {
		return m.tokens, false
	}
	if known && now.Sub(m.queriedAt) < memoryQueryRetryDelay || e.queried >= initialMemoryQueries && now.Sub(e.lastQuery) < memoryQueryInterval {
		return e.minTokens, false
	}
	if e.engines == nil {
		e.engines = map[K]memoryReport{}
	}
	e.engines[engine] = memoryReport{queriedAt: now}
	e.queried++
	e.lastQuery = now
	return e.minTokens, true
}

// RecordResponse records the response of a queried engine; tokens is 0 if there was none.
func (e *EngineMemory[K]) RecordResponse(engine K, tokens int) {
	m, known := e.engines[engine]
	if !known {
		return
	}
	if tokens <= 0 {
		e.queried-- // another engine is queried instead
		return
	}
	m.tokens = tokens
	e.engines[engine] = m
	e.updateMinTokens()
}

// Retain drops the engines that no longer exist.
func (e *EngineMemory[K]) Retain(exists func(K) bool) {
	for k := range e.engines {
		if !exists(k) {
			delete(e.engines, k)
		}
	}
	e.updateMinTokens()
}

func (e *EngineMemory[K]) updateMinTokens() {
	e.minTokens = 0
	for _, m := range e.engines {
		if m.tokens > 0 && (e.minTokens == 0 || m.tokens < e.minTokens) {
			e.minTokens = m.tokens
		}
	}
}
