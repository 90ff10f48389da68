package placement

import "time"

const (
	// initialMemoryQueries is how many engines of a service are asked for their memory at once. The others are taken to have as much
	// until it is their turn.
	initialMemoryQueries = 2
	// memoryQueryInterval is the time between two questions after that. A question costs a connection; an engine of a size of its own
	// is found out within as many intervals as there are engines.
	memoryQueryInterval = 5 * time.Second
	// memoryQueryRetryDelay is how long an engine that did not answer is left alone.
	memoryQueryRetryDelay = 5 * time.Second
)

// EngineMemory holds what the engines of a service said about their memory. K names an engine in one life. It is not safe for
// concurrent use.
type EngineMemory[K comparable] struct {
	engines map[K]memoryReport
	// queried counts the engines that have answered or are being asked, and lastAsk is when the last one was asked.
	queried   int
	lastQuery time.Time
	minTokens int
}

// memoryReport is the memory of an engine in tokens, 0 until it has answered, and when it was asked.
type memoryReport struct {
	tokens    int
	queriedAt time.Time
}

// Lookup returns the memory of an engine in tokens: what it said, or the least that one of the others said, or 0 while none has
// answered. ask tells that the caller should ask this engine now.
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

// RecordAnswer takes the answer of an engine that was asked; tokens is 0 when there was none.
func (e *EngineMemory[K]) RecordAnswer(engine K, tokens int) {
	m, known := e.engines[engine]
	if !known {
		return
	}
	if tokens <= 0 {
		e.queried-- // another one is asked in its place
		return
	}
	m.tokens = tokens
	e.engines[engine] = m
	e.updateMinTokens()
}

// Retain forgets the engines that are gone.
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
