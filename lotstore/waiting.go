package lotstore

import (
	"encoding/json"
	"fmt"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/radishshelf/radishshelf/lots"
	"github.com/radishshelf/radishshelf/samples"
)

// waiting is a complete group that is not known to be durable.
type waiting struct {
	trainer string
	group   string
	samples int
	oldest  int64
	content []byte
	// done is closed once err is final.
	done chan struct{}

	mu       sync.Mutex
	finished bool
	err      error
	holder   GroupHolder
}

func newWaiting(g samples.Group) (*waiting, error) {
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
	return &waiting{
		trainer: g.Trainer, group: g.ID, samples: len(g.Samples), oldest: g.OldestVersion(), content: content,
		done: make(chan struct{}),
	}, nil
}

// heldBy records the peer that holds a copy. It returns false when the group has become durable meanwhile.
func (w *waiting) heldBy(h GroupHolder) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.finished {
		return false
	}
	w.holder = h
	return true
}

func (w *waiting) offered() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.holder != nil
}

// finish makes the result final and returns the peer that holds a copy, if any.
func (w *waiting) finish(err error) GroupHolder {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.finished {
		return nil
	}
	w.finished = true
	w.err = err
	close(w.done)
	return w.holder
}

func (w *waiting) result() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}
