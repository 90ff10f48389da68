package lotstore

import (
	"slices"
	"sync"
)

// groupID identifies a group of a trainer.
type groupID struct{ trainer, group string }

// buffer holds pending groups in order of arrival, up to a total content size. It is safe for concurrent use.
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

// add keeps p and returns it, or the group already pending under the same id, or nil if the buffer is full.
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

// remove removes the group with the given id and returns it, or nil if there is none.
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
