package engine

import (
	"slices"
	"sync"
	"time"
)

// blob is the simulated content of one weight version.
type blob []byte

// weights holds the weight versions of the engine and the highest fencing term that it has seen.
type weights struct {
	mu          sync.Mutex
	policy      string
	active      int64
	staged      map[int64]blob
	startCount  int64
	highestTerm int64
	// restarted is closed by a restart to fail the running requests.
	restarted chan struct{}
	// versionBeforeFailure is the version that a probe reports after a swap that failed partway.
	versionBeforeFailure int64
	swapFailed           bool
	// swapMu serializes activations.
	swapMu sync.Mutex
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
	w.highestTerm = 0
	w.swapFailed = false
}

// current returns the version and start count that label the next token, and the channel that a restart closes.
func (w *weights) current() (version, startCount int64, restarted <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.active, w.startCount, w.restarted
}

// acceptTerm records the term of an order and reports whether the order may be executed. If check is set, a term below
// the highest one is refused. It returns the highest term.
func (w *weights) acceptTerm(term int64, check bool) (highest int64, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if check && term < w.highestTerm {
		return w.highestTerm, false
	}
	w.highestTerm = max(w.highestTerm, term)
	return w.highestTerm, true
}

func (w *weights) addStaged(version int64, content blob) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.staged[version] = content
}

func (w *weights) stagedContent(version int64) (blob, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	content, ok := w.staged[version]
	return content, ok
}

// activate makes a staged version active after duration. If fail is set, the swap fails partway: the active version is
// unknown, reported as 0, until a probe.
func (w *weights) activate(version int64, duration time.Duration, fail bool) bool {
	w.swapMu.Lock()
	defer w.swapMu.Unlock()
	time.Sleep(duration)
	w.mu.Lock()
	defer w.mu.Unlock()
	if fail {
		if !w.swapFailed {
			w.versionBeforeFailure = w.active
		}
		w.swapFailed = true
		w.active = 0
		return false
	}
	w.swapFailed = false
	w.active = version
	return true
}

// probe determines the active version after a failed swap.
func (w *weights) probe() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.swapFailed {
		w.swapFailed = false
		w.active = w.versionBeforeFailure
	}
}

// stagedVersions returns the staged versions in ascending order. The caller must hold w.mu.
func (w *weights) stagedVersions() []int64 {
	out := make([]int64, 0, len(w.staged))
	for version := range w.staged {
		out = append(out, version)
	}
	slices.Sort(out)
	return out
}
