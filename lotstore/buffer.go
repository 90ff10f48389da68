package lotstore

import (
	"slices"
	"sync"
)

// groupID names a group of one trainer.
type groupID struct{ trainer, group string }

// buffer holds waiting groups up to a number of content bytes, in the sequence of their arrival.
type buffer struct {
	maxBytes int

	mu     sync.Mutex
	bytes  int
	groups []*waiting
	byID   map[groupID]*waiting
}

func newBuffer(maxBytes int) *buffer {
	return &buffer{maxBytes: maxBytes, byID: map[groupID]*waiting{}}
}

// put keeps w and returns it, or the group that waits under the same id already, or nil when the buffer is full.
func (b *buffer) put(w *waiting) *waiting {
	b.mu.Lock()
	defer b.mu.Unlock()
	id := groupID{w.trainer, w.group}
	if first := b.byID[id]; first != nil {
		return first
	}
	if b.bytes+len(w.content) > b.maxBytes {
		return nil
	}
	b.bytes += len(w.content)
	b.groups = append(b.groups, w)
	b.byID[id] = w
	return w
}

// remove drops the group under an id and returns it, or nil.
func (b *buffer) remove(id groupID) *waiting {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.byID[id]
	if w == nil {
		return nil
	}
	delete(b.byID, id)
	b.groups = slices.DeleteFunc(b.groups, func(other *waiting) bool { return other == w })
	b.bytes -= len(w.content)
	return w
}

func (b *buffer) list() []*waiting {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.groups)
}

func (b *buffer) size() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bytes
}

func (b *buffer) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.groups)
}
