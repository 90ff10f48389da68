package lotstore

import (
	"encoding/json"
	"fmt"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/radishshelf/radishshelf/lots"
	"github.com/radishshelf/radishshelf/samples"
)

// pendingGroup is a complete group that is not known to be durable yet.
type pendingGroup struct {
	trainer       string
	group         string
	samples       int
	oldestVersion int64
	content       []byte
	// done is closed when err is final.
	done chan struct{}

	mu       sync.Mutex
	finished bool
	err      error
	holder   GroupHolder
}

func newPendingGroup(g samples.Group) (*pendingGroup, error) {
	if err := g.Validate(); err != nil {
		return nil, err
	}
	content, err := json.Marshal(g)
	if err != nil {
		return nil, eris.Wrapf(err, "encode group %q", g.ID)
	}
	if len(content) > lots.MaxBytes {
		return nil, &samples.InvalidGroupError{
			Group: g.ID, Problem: fmt.Sprintf("its content has %d bytes and a lot holds at most %d", len(content), lots.MaxBytes),
		}
	}
	return &pendingGroup{
		trainer: g.Trainer, group: g.ID, samples: len(g.Samples), oldestVersion: g.OldestVersion(), content: content,
		done: make(chan struct{}),
	}, nil
}

// setHolder records the peer that holds a copy. It returns false if the group has been finished in the meantime.
func (p *pendingGroup) setHolder(h GroupHolder) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.finished {
		return false
	}
	p.holder = h
	return true
}

func (p *pendingGroup) hasHolder() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.holder != nil
}

// finish sets the final result and returns the peer that holds a copy, if any.
func (p *pendingGroup) finish(err error) GroupHolder {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.finished {
		return nil
	}
	p.finished = true
	p.err = err
	close(p.done)
	return p.holder
}

func (p *pendingGroup) finalError() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}
