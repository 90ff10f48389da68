// Package trainerapi serves the trainer API under /v1/trainers/<name>/: pull a lot, publish a version, read the status.
// The trainer is derived from the key of the request; the name in the path must match it.
package trainerapi

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/lots"
	"github.com/radishshelf/radishshelf/lotstore"
	"github.com/radishshelf/radishshelf/telemetry"
)

const (
	// PathPrefix is the prefix of all paths of the trainer API.
	PathPrefix = "/v1/trainers/"
	// DefaultPollInterval is how often a waiting pull checks for a lot.
	DefaultPollInterval = 500 * time.Millisecond
	// MaxWait bounds the wait of one pull.
	MaxWait = time.Minute
	// maxBodyBytes bounds a request body; valid ones hold a few numbers.
	maxBodyBytes = 16 << 10
	// storeDownRetryAfter is the time after which a trainer should retry while the store is down.
	storeDownRetryAfter = 5 * time.Second
)

// LotSource delivers lots to trainers; lotstore.Store implements it.
type LotSource interface {
	Pull(ctx context.Context, trainer string, after, step int64) (lots.Lot, []byte, error)
	Status(ctx context.Context, trainer string) (lotstore.Status, error)
}

// Publisher records the weight version that the fleet should serve.
type Publisher interface {
	PublishVersion(ctx context.Context, trainer string, version int64) error
}

// Authenticator derives the trainer from the key of a request. Its errors are of type *outcome.Refusal.
type Authenticator interface {
	Trainer(r *http.Request) (string, error)
}

// Options configures a Handler.
type Options struct {
	Lots          LotSource
	Publisher     Publisher
	Authenticator Authenticator
	// PollInterval is DefaultPollInterval when zero.
	PollInterval time.Duration
	Log          zerolog.Logger
	Registry     *telemetry.Registry
}
