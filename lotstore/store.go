package lotstore

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/rowskip"
)

// Store adds groups and serves pulls. It is safe for concurrent use. Run must be running.
type Store struct {
	opts    Options
	metrics storeMetrics
	skipped *rowskip.Skipper
	// pending holds groups that were completed here and are not stored yet, replicas the copies held for peers.
	pending  *buffer
	replicas *buffer

	mu sync.Mutex
	// pulled is the set of trainers that pulled from this entry; this entry cleans up their rows.
	pulled map[string]bool
	// readyCounts holds the counts of the trainers for which HasCapacity was called.
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
	s.skipped = rowskip.New(opts.Log, s.metrics.skipped)
	return s
}

// Accepting reports whether new rollout work may start. It returns false once half of the buffer for pending groups is
// used, which leaves the other half for groups that are still being generated.
func (s *Store) Accepting() bool { return s.pending.size() < s.opts.MaxPendingBytes/2 }

// PendingGroups returns the number of groups that were completed here and are not durable yet.
func (s *Store) PendingGroups() int { return s.pending.count() }

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
			Kind: hosting.KindInvalid, Op: "object get", Err: fmt.Errorf("content does not match its hash %s", key),
			Remedy: "check the object store for damage",
		}
	}
	return content, nil
}
