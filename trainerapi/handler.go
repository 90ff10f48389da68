package trainerapi

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/radishshelf/radishshelf/outcome"
)

// headerRequestID carries the request ID on every response.
const headerRequestID = "X-Request-Id"

// Handler serves the trainer API.
type Handler struct {
	opts Options
	mux  *http.ServeMux
}

// New returns a Handler for the paths under PathPrefix.
func New(opts Options) *Handler {
	if opts.PollInterval <= 0 {
		opts.PollInterval = DefaultPollInterval
	}
	h := &Handler{
		opts: opts, mux: http.NewServeMux(),
	}
	h.handle("pull", http.MethodPost, h.pull)
	h.handle("versions", http.MethodPost, h.publish)
	h.handle("status", http.MethodGet, h.status)
	h.mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeError(w, requestID(w, r), unknownPath())
	})
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// call is one authenticated request.
type call struct {
	id      string
	trainer string
	w       http.ResponseWriter
	r       *http.Request
}

// handle registers serve for one call. serve returns an error only if it has not written to the response.
func (h *Handler) handle(name, method string, serve func(c call) error) {
	h.mux.HandleFunc(PathPrefix+"{trainer}/"+name, func(w http.ResponseWriter, r *http.Request) {
		c := call{id: requestID(w, r), w: w, r: r}
		err := h.authenticate(&c)
		if err == nil && r.Method != method {
			w.Header().Set("Allow", method)
			err = methodNotAllowed(method)
		}
		if err == nil {
			r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
			err = serve(c)
		}
		if err == nil {
			return
		}
		if r.Context().Err() != nil {
			return
		}
		refusal := asRefusal(err)
		h.opts.Log.Info().Str("request", c.id).Str("trainer", c.trainer).Str("call", name).
			Str("kind", string(refusal.Kind)).Err(errors.Unwrap(refusal)).Msg("trainer call refused")
		writeError(w, c.id, err)
	})
}

// authenticate derives the trainer from the key and checks that the path names the same trainer.
func (h *Handler) authenticate(c *call) error {
	trainer, err := h.opts.Authenticator.Trainer(c.r)
	if err != nil {
		return err
	}
	if trainer != c.r.PathValue("trainer") {
		return &outcome.Refusal{
			Kind: outcome.KindUnauthorized, Outcome: outcome.NotRun, Status: http.StatusForbidden,
			Message: "the key belongs to a trainer other than the one in the path",
			Remedy:  "use the path of the trainer that the key was granted to",
		}
	}
	c.trainer = trainer
	return nil
}

// requestID returns the request ID that the caller sent, or a new one, and sets it on the response.
func requestID(w http.ResponseWriter, r *http.Request) string {
	const maxIDBytes = 128
	id := r.Header.Get(headerRequestID)
	if id == "" || len(id) > maxIDBytes {
		id = uuid.NewString()
	}
	w.Header().Set(headerRequestID, id)
	return id
}

// recordPullWait records how long a trainer waited in a pull; the trainer is idle during that time.
func (h *Handler) recordPullWait(trainer string, start time.Time) {
	name := fmt.Sprintf("radishshelf_trainer_pull_seconds{trainer=%q}", trainer)
	h.opts.Registry.GetOrCreateHistogram(name).Update(time.Since(start).Seconds())
}
