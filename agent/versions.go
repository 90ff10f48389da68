package agent

import (
	"context"
	"slices"
	"sync"

	"github.com/radishshelf/radishshelf/agent/engineapi"
)

// Reasons why a response must not become a sample.
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

// versionTracker holds what the agent knows about the weights of its engine.
//
// Invariant: known is true only if a probe that began after the last failed swap, lost connection or agent start
// returned the version. A request that overlaps a period with an unknown version yields no sample.
type versionTracker struct {
	mu     sync.Mutex
	known  bool
	reason string
	// probed is set when a probe has returned status since the last invalidation, even if the engine did not know its
	// version.
	probed bool
	// invalidations counts how often a known version became unknown.
	invalidations int64
	// epoch is incremented when a swap begins or ends and when the version is invalidated. The result of a probe that
	// overlaps such a change is ignored.
	epoch int64
	// swapDone is closed at the end of the swap in progress; nil if there is none.
	swapDone chan struct{}
	status   engineapi.Status
}

func newVersionTracker() *versionTracker { return &versionTracker{reason: discardNoProbe} }

// versionSnapshot is the state of a versionTracker at the start of a request.
type versionSnapshot struct {
	known         bool
	invalidations int64
	startCount    int64
}

func (v *versionTracker) snapshot() versionSnapshot {
	v.mu.Lock()
	defer v.mu.Unlock()
	return versionSnapshot{known: v.known, invalidations: v.invalidations, startCount: v.status.StartCount}
}

// waitForSwap waits for the end of a swap in progress. If the swap fails, the labels of the request are not reliable.
func (v *versionTracker) waitForSwap(ctx context.Context) {
	v.mu.Lock()
	swapDone := v.swapDone
	v.mu.Unlock()
	if swapDone == nil {
		return
	}
	select {
	case <-swapDone:
	case <-ctx.Done():
	}
}

// discardReasonSince returns why a request that began at the given snapshot yields no sample, or "".
func (v *versionTracker) discardReasonSince(before versionSnapshot) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case !v.known:
		return v.reason
	case !before.known:
		return discardNoProbe
	case before.startCount != v.status.StartCount:
		return discardStartCount
	case v.swapDone != nil, before.invalidations != v.invalidations:
		return discardSwapFailed
	default:
		return ""
	}
}

// discardReason returns why requests currently yield no samples, or "".
func (v *versionTracker) discardReason() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.known {
		return ""
	}
	return v.reason
}

// invalidate marks the version as unknown until the next probe.
func (v *versionTracker) invalidate(reason string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.invalidateLocked(reason)
}

func (v *versionTracker) invalidateLocked(reason string) {
	v.epoch++
	if v.known {
		v.invalidations++
	}
	v.known = false
	v.probed = false
	v.reason = reason
}

func (v *versionTracker) beginSwap() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.epoch++
	v.swapDone = make(chan struct{})
}

// finishSwap stores the status that the engine returned. After any failure, including a lost reply, the version is
// unknown.
func (v *versionTracker) finishSwap(status engineapi.Status, err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.epoch++
	close(v.swapDone)
	v.swapDone = nil
	if err != nil {
		v.invalidateLocked(discardSwapFailed)
		return
	}
	v.status = status
}

// beginProbe returns the epoch to pass to finishProbe.
func (v *versionTracker) beginProbe() int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.epoch
}

// finishProbe stores the status of a probe, unless the epoch changed since it began. It reports whether the engine
// restarted.
func (v *versionTracker) finishProbe(epoch int64, status engineapi.Status) (restarted bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if epoch != v.epoch || v.swapDone != nil {
		return false
	}
	restarted = v.status.StartCount != 0 && v.status.StartCount != status.StartCount
	v.status = status
	if status.ActiveVersion == 0 {
		v.invalidateLocked(discardUnknownVersion)
		v.probed = true
		return restarted
	}
	v.probed = true
	v.known = true
	return restarted
}

// isProbed reports whether the last status may be compared with a wanted state. This includes the status of an engine
// without active weights.
func (v *versionTracker) isProbed() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.probed
}

// current returns the last status and whether its active version is certain.
func (v *versionTracker) current() (status engineapi.Status, known bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	status = v.status
	status.StagedVersions = slices.Clone(status.StagedVersions)
	return status, v.known
}

// setStaged stores the list of staged versions from the response to a stage order.
func (v *versionTracker) setStaged(status engineapi.Status) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.status.StagedVersions = status.StagedVersions
}
