package trainerapi

import (
	"errors"
	"net/http"
	"time"

	"github.com/radishshelf/radishshelf/lots"
)

// PullRequest requests the lot that follows the last one received.
type PullRequest struct {
	// After is the number of the last lot that the trainer has received, 0 at the start; it acknowledges all lots up to
	// that one.
	After int64 `json:"after"`
	// Step is the trainer's current weight version.
	Step int64 `json:"step"`
	// WaitMs is how long to wait for a lot, in milliseconds, at most MaxWait.
	WaitMs int64 `json:"wait_ms"`
}

func (p PullRequest) validate() error {
	if p.After < 0 || p.Step < 0 {
		return invalidRequest("after or step is negative", "send the number of the last lot and the current weight version")
	}
	if p.WaitMs < 0 || p.WaitMs > MaxWait.Milliseconds() {
		return invalidRequest("wait_ms is outside 0 to 60000", "wait at most 60000 ms and pull again")
	}
	return nil
}

// pull responds 200 with the lot, 204 when none is ready within the wait, 410 for a void lot, 409 for a lot number that
// is out of sequence and 503 while the store is down.
func (h *Handler) pull(c call) error {
	var req PullRequest
	if err := readBody(c.r, &req); err != nil {
		return err
	}
	if err := req.validate(); err != nil {
		return err
	}
	start := time.Now()
	defer func() { h.recordPullWait(c.trainer, start) }()
	content, err := h.waitForLot(c, req)
	if errors.Is(err, lots.ErrNotReady) {
		c.w.WriteHeader(http.StatusNoContent)
		return nil
	}
	if err != nil {
		return err
	}
	c.w.Header().Set("Content-Type", "application/json")
	// The error is ignored: a trainer that has disconnected pulls the same lot again.
	_, _ = c.w.Write(content)
	return nil
}

// waitForLot polls until a lot is ready or the wait has elapsed. It checks the key after each interval, because the key
// may be withdrawn during the wait.
func (h *Handler) waitForLot(c call, req PullRequest) ([]byte, error) {
	deadline := time.NewTimer(time.Duration(req.WaitMs) * time.Millisecond)
	defer deadline.Stop()
	ticker := time.NewTicker(h.opts.PollInterval)
	defer ticker.Stop()
	for {
		_, content, err := h.opts.Lots.Pull(c.r.Context(), c.trainer, req.After, req.Step)
		if !errors.Is(err, lots.ErrNotReady) {
			return content, err
		}
		select {
		case <-c.r.Context().Done():
			return nil, c.r.Context().Err()
		case <-deadline.C:
			return nil, err
		case <-ticker.C:
		}
		if err := h.authenticate(&c); err != nil {
			return nil, err
		}
	}
}
