// Package trainerapi serves the calls of trainers under /v1/trainers/<name>/: pull a lot, publish a version, read the
// status. The trainer is derived from the presented key; the name in the path must agree with it.
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
	// PathPrefix begins the paths of this handler.
	PathPrefix = "/v1/trainers/"
	// DefaultPollInterval is how often a waiting pull looks for a lot.
	DefaultPollInterval = 500 * time.Millisecond
	// MaxWait bounds the wait of one pull.
	MaxWait = time.Minute
	// maxBodyBytes bounds a request body; the largest has a few numbers.
	maxBodyBytes = 16 << 10
	// storeDownRetryAfter is the time after which a trainer comes back while the store is down.
	storeDownRetryAfter = 5 * time.Second
)

// LotSource hands over lots. A lotstore.Store is one.
type LotSource interface {
	Pull(ctx context.Context, trainer string, after, step int64) (lots.Lot, []byte, error)
	Status(ctx context.Context, trainer string) (lotstore.Status, error)
}

// Publisher writes the version wanted of the fleet.
type Publisher interface {
	PublishVersion(ctx context.Context, trainer string, version int64) error
}

// Authenticator derives the trainer from the key of a request. Errors are an *outcome.Refusal.
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
