package agent

import (
	"context"
	"slices"
	"sync"

	"github.com/radishshelf/radishshelf/agent/engineapi"
)

// Reasons why an answer must not become a sample.
const (
	discardUnknownVersion = "unknown_version"
	discardStartCount     = "start_count_changed"
	discardSwapFailed     = "swap_failed"
	discardNoProbe        = "version_not_probed"
	discardNoLabels       = "no_labels"
	discardPartialLabels  = "labels_do_not_cover_answer"
	discardIncomplete     = "incomplete_answer"
	discardStatus         = "upstream_status"
)

// versions is what the agent knows about the weights of its engine.
//
// Invariant: known is true only if a probe that began after the last failed swap, lost connection or agent start named
// the version. A request that overlaps a time without knowledge yields no sample.
type versions struct {
	mu     sync.Mutex
	known  bool
	reason string
	// probed is set while status is that of a probe, also when the engine did not know its version.
	probed bool
	// doubts counts how often the knowledge was lost.
	doubts int64
	// changes counts swaps begun and ended; a probe that overlaps one proves nothing.
	changes int64
	// swapping is closed at the end of the swap in progress; nil when there is none.
	swapping chan struct{}
	status   engineapi.Status
}

func newVersions() *versions { return &versions{reason: discardNoProbe} }

// mark is the knowledge at the start of a request.
type mark struct {
	known      bool
	doubts     int64
	startCount int64
}

func (v *versions) begin() mark {
	v.mu.Lock()
	defer v.mu.Unlock()
	return mark{known: v.known, doubts: v.doubts, startCount: v.status.StartCount}
}

// settle waits until no swap is in progress, because a swap that then fails would make the labels doubtful.
func (v *versions) settle(ctx context.Context) {
	v.mu.Lock()
	swapping := v.swapping
	v.mu.Unlock()
	if swapping == nil {
		return
	}
	select {
	case <-swapping:
	case <-ctx.Done():
	}
}

// verdict returns why a request that began at m yields no sample, or "".
func (v *versions) verdict(m mark) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case !v.known:
		return v.reason
	case !m.known:
		return discardNoProbe
	case m.startCount != v.status.StartCount:
		return discardStartCount
	case v.swapping != nil, m.doubts != v.doubts:
		return discardSwapFailed
	default:
		return ""
	}
}

// discardReason is the reason that applies to every request now, or "".
func (v *versions) discardReason() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.known {
		return ""
	}
	return v.reason
}

// doubt forgets the version until the next probe.
func (v *versions) doubt(reason string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.forget(reason)
}

func (v *versions) forget(reason string) {
	v.changes++
	if v.known {
		v.doubts++
	}
	v.known = false
	v.probed = false
	v.reason = reason
}

func (v *versions) swapBegins() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.changes++
	v.swapping = make(chan struct{})
}

// swapEnds takes the status that the engine returned; any failure, also a lost reply, leaves the version unknown.
func (v *versions) swapEnds(status engineapi.Status, err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.changes++
	close(v.swapping)
	v.swapping = nil
	if err != nil {
		v.forget(discardSwapFailed)
		return
	}
	v.status = status
}

// probeBegins returns the value to hand to probeEnds.
func (v *versions) probeBegins() int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changes
}

// probeEnds takes a status unless a swap began or ended since the probe did. It reports whether the engine restarted.
func (v *versions) probeEnds(changes int64, status engineapi.Status) (restarted bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if changes != v.changes || v.swapping != nil {
		return false
	}
	restarted = v.status.StartCount != 0 && v.status.StartCount != status.StartCount
	v.status = status
	if status.ActiveVersion == 0 {
		v.forget(discardUnknownVersion)
		v.probed = true
		return restarted
	}
	v.probed = true
	v.known = true
	return restarted
}

// isProbed reports whether the last status may be compared with a wanted state. An engine without weights is probed too.
func (v *versions) isProbed() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.probed
}

// current returns the last status and whether its version is certain.
func (v *versions) current() (status engineapi.Status, known bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	status = v.status
	status.StagedVersions = slices.Clone(status.StagedVersions)
	return status, v.known
}

// staged takes the list of staged versions from the answer to a stage order.
func (v *versions) staged(status engineapi.Status) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.status.StagedVersions = status.StagedVersions
}
