package trainerapi

import "net/http"

// PublishRequest announces a weight version that the weight store holds.
type PublishRequest struct {
	Version int64 `json:"version"`
	// Step is the training step that produced the version, SizeBytes the size of its blob; both are only logged.
	Step      int64 `json:"step,omitempty"`
	SizeBytes int64 `json:"size_bytes,omitempty"`
}

// PublishResponse confirms that the version was recorded. Engines activate it within seconds after staging it.
type PublishResponse struct {
	Trainer string `json:"trainer"`
	Version int64  `json:"version"`
}

func (h *Handler) publish(c call) error {
	var req PublishRequest
	if err := readBody(c.r, &req); err != nil {
		return err
	}
	if req.Version <= 0 || req.Step < 0 || req.SizeBytes < 0 {
		return invalidRequest("the version is not positive, or step or size_bytes is negative", "number versions from 1")
	}
	if err := h.opts.Publisher.PublishVersion(c.r.Context(), c.trainer, req.Version); err != nil {
		return err
	}
	h.opts.Log.Info().Str("request", c.id).Str("trainer", c.trainer).Int64("version", req.Version).Int64("step", req.Step).
		Int64("size_bytes", req.SizeBytes).Msg("version published")
	writeJSON(c.w, http.StatusAccepted, PublishResponse{Trainer: c.trainer, Version: req.Version})
	return nil
}
