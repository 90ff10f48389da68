package placement

import "time"

const (
	// memorySample is how many engines of a service are asked for their memory at once. The others are taken to have as much
	// until it is their turn.
	memorySample = 2
	// memoryInterval is the time between two questions after that. A question costs a connection; an engine of a size of its own
	// is found out within as many intervals as there are engines.
	memoryInterval = 5 * time.Second
	// memoryRetry is how long an engine that did not answer is left alone.
	memoryRetry = 5 * time.Second
)

// EngineMemory holds what the engines of a service said about their memory. K names an engine in one life. It is not safe for
// concurrent use.
type EngineMemory[K comparable] struct {
	engines map[K]memoryReport
	// sampled counts the engines that have answered or are being asked, and lastAsk is when the last one was asked.
	sampled int
	lastAsk time.Time
	least   int
}

// memoryReport is the memory of an engine in tokens, 0 until it has answered, and when it was asked.
type memoryReport struct {
	tokens  int
	askedAt time.Time
}

// Lookup returns the memory of an engine in tokens: what it said, or the least that one of the others said, or 0 while none has
// answered. ask tells that the caller should ask this engine now.
func (b *EngineMemory[K]) Lookup(engine K, now time.Time) (tokens int, ask bool) {
	m, known := b.engines[engine]
	if m.tokens > 0 {
		return m.tokens, false
	}
	if known && now.Sub(m.askedAt) < memoryRetry || b.sampled >= memorySample && now.Sub(b.lastAsk) < memoryInterval {
		return b.least, false
	}
	if b.engines == nil {
		b.engines = map[K]memoryReport{}
	}
	b.engines[engine] = memoryReport{askedAt: now}
	b.sampled++
	b.lastAsk = now
	return b.least, true
}

// RecordAnswer takes the answer of an engine that was asked; tokens is 0 when there was none.
func (b *EngineMemory[K]) RecordAnswer(engine K, tokens int) {
	m, known := b.engines[engine]
	if !known {
		return
	}
	if tokens <= 0 {
		b.sampled-- // another one is asked in its place
		return
	}
	m.tokens = tokens
	b.engines[engine] = m
	b.addUp()
}

// Retain forgets the engines that are gone.
func (b *EngineMemory[K]) Retain(exists func(K) bool) {
	for k := range b.engines {
		if !exists(k) {
			delete(b.engines, k)
		}
	}
	b.addUp()
}

func (b *EngineMemory[K]) addUp() {
	b.least = 0
	for _, m := range b.engines {
		if m.tokens > 0 && (b.least == 0 || m.tokens < b.least) {
			b.least = m.tokens
		}
	}
}
