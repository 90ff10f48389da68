package lotstore

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/lots"
	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/samples"
)

// AddGroup stores a complete group and lists it as ready for its trainer. It returns nil once this group, or another
// one with the same id, is durable. While the store is unavailable the group stays pending in bounded memory, with a
// copy on a peer. If ctx ends first, the group remains pending and the call may be repeated.
func (s *Store) AddGroup(ctx context.Context, g samples.Group) error {
	p, err := newPendingGroup(g)
	if err != nil {
		return err
	}
	err = s.persist(ctx, p)
	if err == nil || isPermanent(err) {
		return err
	}
	s.opts.Log.Warn().Err(err).Str("trainer", p.trainer).Str("group", p.group).Msg("failed to store group")
	pending := s.pending.add(p)
	if pending == nil {
		s.metrics.recordDiscarded(samples.ReasonBufferFull, p.samples)
		return bufferFullRefusal(err)
	}
	if pending == p {
		s.metrics.waited.Inc()
		s.replicate(ctx, p)
	}
	select {
	case <-pending.done:
		return pending.finalError()
	case <-ctx.Done():
		return pendingRefusal(s.opts, ctx.Err())
	}
}

// persist writes the content and the rows of a group. It is idempotent.
func (s *Store) persist(ctx context.Context, p *pendingGroup) error {
	object, err := s.putObject(ctx, p.content)
	if err != nil {
		return err
	}
	key := groupKey(p.trainer, p.group)
	now := s.opts.Now()
	ready := lots.ReadyGroup{
		Key: readyKey(p.trainer, p.group, now), Group: p.group, Samples: p.samples, OldestVersion: p.oldestVersion,
		Bytes: len(p.content), Object: object,
	}
	txn, err := groupTxn(key, groupRow{Ready: ready, AddedAt: now.UTC()})
	if err != nil {
		return err
	}
	result, err := s.opts.Table.Commit(ctx, txn)
	if hosting.IsKind(err, hosting.KindUnknown) {
		return s.resolveUnknownCommit(ctx, key, err)
	}
	if err != nil {
		return eris.Wrapf(err, "write %s", key)
	}
	if result.Committed {
		s.metrics.added.Inc()
	} else {
		s.metrics.repeated.Inc()
	}
	return nil
}

func groupTxn(key string, row groupRow) (hosting.Txn, error) {
	groupValue, err := json.Marshal(row)
	if err != nil {
		return hosting.Txn{}, eris.Wrapf(err, "encode %s", key)
	}
	readyValue, err := json.Marshal(row.Ready)
	if err != nil {
		return hosting.Txn{}, eris.Wrapf(err, "encode %s", row.Ready.Key)
	}
	return hosting.Txn{
		Conditions: []hosting.Condition{{Key: key}},
		Puts:       []hosting.Put{{Key: key, Value: groupValue}, {Key: row.Ready.Key, Value: readyValue}},
	}, nil
}

// resolveUnknownCommit reads the group row after the reply to a commit was lost. If the row does not exist or cannot be
// read, it returns an error and the group stays pending until the next retry.
func (s *Store) resolveUnknownCommit(ctx context.Context, key string, cause error) error {
	if _, err := s.opts.Table.Get(ctx, key); err != nil {
		return eris.Wrapf(cause, "write %s: the reply was lost, and the row is absent or cannot be read", key)
	}
	s.metrics.added.Inc()
	return nil
}

// isPermanent reports whether a retry of the call would fail too.
func isPermanent(err error) bool {
	return hosting.IsKind(err, hosting.KindInvalid)
}

func bufferFullRefusal(cause error) error {
	return &outcome.Refusal{
		Kind: outcome.KindStoreDown, Outcome: outcome.Ran, Status: http.StatusServiceUnavailable,
		Message: "the group is complete, but the store is unavailable and the buffer for pending groups is full",
		Remedy:  "send the group again under the same id", RetryAfter: outageRetryAfter, Err: cause,
	}
}

func pendingRefusal(opts Options, cause error) error {
	return &outcome.Refusal{
		Kind: outcome.KindStoreDown, Outcome: outcome.MayHaveRun, Status: http.StatusServiceUnavailable,
		Message: "the group is complete and pending until the store is available",
		Remedy:  "send the group again under the same id to learn when it is stored", RetryAfter: opts.RetryInterval, Err: cause,
	}
}
