package engine

import (
	"slices"
	"sync"
	"time"
)

// blob is the stand-in for the content of one weight version.
type blob []byte

// weights holds the versions of the engine and its view of the fencing number.
type weights struct {
	mu         sync.Mutex
	policy     string
	active     int64
	staged     map[int64]blob
	startCount int64
	term       int64
	// restarted is closed by a restart, to break what runs.
	restarted chan struct{}
	// beforeFailure is what a probe finds after a swap that failed partway.
	beforeFailure int64
	failed        bool
	// swap serializes activations.
	swap sync.Mutex
}

func newWeights(s Settings) *weights {
	return &weights{
		policy: s.Policy, active: s.InitialVersion, startCount: s.StartCount,
		staged: map[int64]blob{s.InitialVersion: defaultBlob(s.Policy, s.InitialVersion)}, restarted: make(chan struct{}),
	}
}

func (w *weights) restart(s Settings) {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.restarted)
	w.restarted = make(chan struct{})
	w.startCount++
	w.active = s.InitialVersion
	w.staged = map[int64]blob{s.InitialVersion: defaultBlob(s.Policy, s.InitialVersion)}
	w.term = 0
	w.failed = false
}

// current returns the label of the next token and the channel that a restart closes.
func (w *weights) current() (version, startCount int64, restarted <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.active, w.startCount, w.restarted
}

// accept records the term of an order and reports whether it may be carried out.
func (w *weights) accept(term int64, check bool) (highest int64, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if check && term < w.term {
		return w.term, false
	}
	w.term = max(w.term, term)
	return w.term, true
}

func (w *weights) addStaged(version int64, content blob) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.staged[version] = content
}

func (w *weights) content(version int64) (blob, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	content, ok := w.staged[version]
	return content, ok
}

// activate swaps to a staged version. A swap that fails partway leaves the version unknown until a probe.
func (w *weights) activate(version int64, took time.Duration, fail bool) bool {
	w.swap.Lock()
	defer w.swap.Unlock()
	time.Sleep(took)
	w.mu.Lock()
	defer w.mu.Unlock()
	if fail {
		if !w.failed {
			w.beforeFailure = w.active
		}
		w.failed = true
		w.active = 0
		return false
	}
	w.failed = false
	w.active = version
	return true
}

// probe finds out the version after a failed swap.
func (w *weights) probe() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failed {
		w.failed = false
		w.active = w.beforeFailure
	}
}

func (w *weights) versions() []int64 {
	out := make([]int64, 0, len(w.staged))
	for version := range w.staged {
		out = append(out, version)
	}
	slices.Sort(out)
	return out
}
