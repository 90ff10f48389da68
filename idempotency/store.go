package idempotency

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/outcome"
)

const (
	// MaxResponseBytes is the maximum size of a stored body. It keeps 100 claims per second well below the capacity of
	// the table.
	MaxResponseBytes = 64 << 10
	// MaxKeyBytes is the maximum size of an idempotency key.
	MaxKeyBytes = 256
	// tableTimeout limits one table call, so that a slow store does not use up the caller's deadline.
	tableTimeout = 2 * time.Second
	// storeRetryAfter is the Retry-After time sent while the store is unavailable.
	storeRetryAfter = 5 * time.Second
)

// Request describes a request with an idempotency key. Content is its ContentHash.
type Request struct {
	Workspace string
	Key       string
	Content   string
	RequestID string
}

// Store writes and reads claim rows in the table.
type Store struct {
	table   hosting.Table
	entry   string
	limiter *rate.Limiter
}

// NewStore returns a Store for the named entry that writes at most claimsPerSecond claims per second.
func NewStore(table hosting.Table, entry string, claimsPerSecond float64) *Store {
	burst := max(1, int(claimsPerSecond))
	return &Store{table: table, entry: entry, limiter: rate.NewLimiter(rate.Limit(claimsPerSecond), burst)}
}

// Claim writes the claim row of a request. It returns the claim, or the stored response of an earlier request with the
// same key. The error is an *outcome.Refusal.
func (s *Store) Claim(ctx context.Context, r Request) (*Claim, *Response, error) {
	if r.Key == "" || len(r.Key) > MaxKeyBytes {
		return nil, nil, invalidKeyRefusal()
	}
	key := RowKey(r.Workspace, r.Key)
	if !s.limiter.Allow() {
		return s.replayWithoutClaim(ctx, key, r)
	}
	row := Row{State: Claimed, Content: r.Content, Owner: uuid.NewString(), Entry: s.entry, RequestID: r.RequestID, ClaimedAt: time.Now().UTC()}
	value, err := json.Marshal(row)
	if err != nil {
		return nil, nil, storeUnavailableRefusal(err)
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	result, err := s.table.Commit(ctx, hosting.Txn{
		Conditions: []hosting.Condition{{Key: key}}, Puts: []hosting.Put{{Key: key, Value: value}},
	})
	if hosting.IsKind(err, hosting.KindUnknown) {
		return s.resolveUnknownCommit(ctx, key, r, row.Owner)
	}
	if err != nil {
		return nil, nil, storeUnavailableRefusal(err)
	}
	if result.Committed {
		return &Claim{store: s, key: key, revision: result.Revision, row: row}, nil, nil
	}
	for _, current := range result.Current {
		if current.Key == key {
			return s.resolve(key, current, r, row.Owner)
		}
	}
	return nil, nil, storeUnavailableRefusal(fmt.Errorf("the table did not return the row %s", key))
}

// replayWithoutClaim handles a request when the claim rate limit is reached. A retry can still be answered from its
// row, because that needs no write.
func (s *Store) replayWithoutClaim(ctx context.Context, key string, r Request) (*Claim, *Response, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	current, err := s.table.Get(ctx, key)
	if hosting.IsKind(err, hosting.KindNotFound) {
		return nil, nil, tooManyClaimsRefusal()
	}
	if err != nil {
		return nil, nil, storeUnavailableRefusal(err)
	}
	return s.resolve(key, current, r, "")
}

// resolveUnknownCommit reads the row to find out whether a claim with a lost reply was written.
func (s *Store) resolveUnknownCommit(ctx context.Context, key string, r Request, owner string) (*Claim, *Response, error) {
	current, err := s.table.Get(ctx, key)
	if err != nil {
		return nil, nil, storeUnavailableRefusal(err)
	}
	return s.resolve(key, current, r, owner)
}

func (s *Store) resolve(key string, current hosting.Row, r Request, owner string) (*Claim, *Response, error) {
	var existing Row
	if err := json.Unmarshal(current.Value, &existing); err != nil {
		return nil, nil, storeUnavailableRefusal(eris.Wrapf(err, "row %s cannot be decoded", key))
	}
	if owner != "" && existing.Owner == owner && existing.State == Claimed {
		return &Claim{store: s, key: key, revision: current.Revision, row: existing}, nil, nil
	}
	decision := Decide(&existing, r.Content)
	if decision == Replay {
		return nil, existing.Response, nil
	}
	return nil, nil, duplicateRefusal(decision)
}

func invalidKeyRefusal() *outcome.Refusal {
	return &outcome.Refusal{
		Kind: outcome.KindInvalid, Outcome: outcome.NotRun, Status: http.StatusBadRequest,
		Message: fmt.Sprintf("the idempotency key is empty or longer than %d bytes", MaxKeyBytes),
		Remedy:  "send a random key, for example a UUID",
	}
}

func tooManyClaimsRefusal() *outcome.Refusal {
	return &outcome.Refusal{
		Kind: outcome.KindOverloaded, Outcome: outcome.NotRun, Status: http.StatusServiceUnavailable,
		Message: "too many requests with an idempotency key", Remedy: "repeat the request with the same key",
		RetryAfter: time.Second,
	}
}

func storeUnavailableRefusal(err error) *outcome.Refusal {
	return &outcome.Refusal{
		Kind: outcome.KindStoreDown, Outcome: outcome.NotRun, Status: http.StatusServiceUnavailable,
		Message: "the idempotency key cannot be claimed because the store is unavailable",
		Remedy:  "repeat the request with the same key", RetryAfter: storeRetryAfter, Err: err,
	}
}

func duplicateRefusal(d Decision) *outcome.Refusal {
	r := &outcome.Refusal{
		Kind: outcome.KindDuplicate, Outcome: outcome.MayHaveRun, Status: http.StatusConflict,
		Message: "a request with this idempotency key may have run, or is still running",
		Remedy:  "check the effect; use a new key only if it had none",
	}
	switch d {
	case ResponseNotStored:
		r.Outcome = outcome.Ran
		r.Message = "a request with this idempotency key ran, and its response was too large to store"
		r.Remedy = "check the effect"
	case ContentMismatch:
		r.Kind, r.Outcome, r.Status = outcome.KindConflict, outcome.NotRun, http.StatusUnprocessableEntity
		r.Message = "the idempotency key was used for a different request"
		r.Remedy = "use a new key for each request"
	}
	return r
}
