package trainerapi

import "net/http"

func (h *Handler) status(c call) error {
	status, err := h.opts.Lots.Status(c.r.Context(), c.trainer)
	if err != nil {
		return err
	}
	writeJSON(c.w, http.StatusOK, status)
	return nil
}
