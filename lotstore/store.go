package lotstore

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/radishshelf/radishshelf/hosting"
)

// Store adds groups and serves pulls. It is safe for concurrent use; Run must be running.
type Store struct {
	opts    Options
	metrics storeMetrics
	// pending are groups completed here that wait for the store, held are copies kept for peers.
	pending  *buffer
	replicas *buffer

	mu sync.Mutex
	// pulled are the trainers whose pulls came here; their rows are cleaned up here.
	pulled map[string]bool
	// readyCounts are the trainers for which rollout groups were asked here.
	readyCounts map[string]*readyCount
}

// New returns a Store.
func New(opts Options) *Store {
	opts.setDefaults()
	s := &Store{
		opts: opts, pending: newBuffer(opts.MaxPendingBytes), replicas: newBuffer(opts.MaxPendingBytes), pulled: map[string]bool{},
		readyCounts: map[string]*readyCount{},
	}
	s.metrics = newStoreMetrics(opts.Registry)
	return s
}

// Accepting reports whether new rollout work may start. It turns false when half of the memory for waiting groups is
// used, so that the other half takes the groups that are being generated.
func (s *Store) Accepting() bool { return s.pending.size() < s.opts.MaxPendingBytes/2 }

// Waiting returns the number of groups that are complete here but not durable.
func (s *Store) Waiting() int { return s.pending.count() }

func (s *Store) putObject(ctx context.Context, content []byte) (string, error) {
	sum := sha256.Sum256(content)
	key := hex.EncodeToString(sum[:])
	if err := s.opts.Objects.Put(ctx, key, content); err != nil {
		return "", eris.Wrapf(err, "store content %s", key)
	}
	return key, nil
}

func (s *Store) getObject(ctx context.Context, key string) ([]byte, error) {
	content, err := s.opts.Objects.Get(ctx, key)
	if err != nil {
		return nil, eris.Wrapf(err, "read content %s", key)
	}
	sum := sha256.Sum256(content)
	if hex.EncodeToString(sum[:]) != key {
		return nil, &hosting.Error{
			Kind: hosting.KindInvalid, Op: "object get", Err: fmt.Errorf("content of %s has another hash", key),
			Remedy: "check the object store for damage",
		}
	}
	return content, nil
}
