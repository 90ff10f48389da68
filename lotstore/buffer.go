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
	groups []*pendingGroup
	byID   map[groupID]*pendingGroup
}

func newBuffer(maxBytes int) *buffer {
	return &buffer{maxBytes: maxBytes, byID: map[groupID]*pendingGroup{}}
}

// add keeps p and returns it, or the group that waits under the same id already, or nil when the buffer is full.
func (b *buffer) add(p *pendingGroup) *pendingGroup {
	b.mu.Lock()
	defer b.mu.Unlock()
	id := groupID{p.trainer, p.group}
	if first := b.byID[id]; first != nil {
		return first
	}
	if b.bytes+len(p.content) > b.maxBytes {
		return nil
	}
	b.bytes += len(p.content)
	b.groups = append(b.groups, p)
	b.byID[id] = p
	return p
}

// remove drops the group under an id and returns it, or nil.
func (b *buffer) remove(id groupID) *pendingGroup {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.byID[id]
	if p == nil {
		return nil
	}
	delete(b.byID, id)
	b.groups = slices.DeleteFunc(b.groups, func(other *pendingGroup) bool { return other == p })
	b.bytes -= len(p.content)
	return p
}

func (b *buffer) list() []*pendingGroup {
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
