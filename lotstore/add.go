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

// AddGroup makes a whole group ready for its trainer. It returns nil once the group is durable, or once another group
// is durable under the same id. While the store is down the group waits in bounded memory, here and on a peer; when ctx
// ends first, the group keeps waiting and the same call may be repeated.
func (s *Store) AddGroup(ctx context.Context, g samples.Group) error {
	w, err := newWaiting(g)
	if err != nil {
		return err
	}
	err = s.store(ctx, w)
	if err == nil || isPermanent(err) {
		return err
	}
	s.opts.Log.Warn().Err(err).Str("trainer", w.trainer).Str("group", w.group).Msg("group waits for the store")
	kept := s.own.put(w)
	if kept == nil {
		s.metrics.discarded(samples.ReasonBufferFull, w.samples)
		return refuseFull(err)
	}
	if kept == w {
		s.metrics.waited.Inc()
		s.offer(ctx, w)
	}
	select {
	case <-kept.done:
		return kept.result()
	case <-ctx.Done():
		return refuseWaiting(s.opts, ctx.Err())
	}
}

// store writes content and rows. Every step may be repeated without further effect.
func (s *Store) store(ctx context.Context, w *waiting) error {
	object, err := s.putObject(ctx, w.content)
	if err != nil {
		return err
	}
	key := groupKey(w.trainer, w.group)
	now := s.opts.Now()
	ready := lots.ReadyGroup{
		Key: readyKey(w.trainer, w.group, now), Group: w.group, Samples: w.samples, OldestVersion: w.oldest,
		Bytes: len(w.content), Object: object,
	}
	txn, err := groupTxn(key, groupRow{Ready: ready, AddedAt: now.UTC()})
	if err != nil {
		return err
	}
	result, err := s.opts.Table.Commit(ctx, txn)
	if hosting.IsKind(err, hosting.KindUnknown) {
		return s.settleGroup(ctx, key, err)
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

// settleGroup reads the group row after a lost reply. An absent row leaves the group waiting; the next try decides.
func (s *Store) settleGroup(ctx context.Context, key string, cause error) error {
	if _, err := s.opts.Table.Get(ctx, key); err != nil {
		return eris.Wrapf(cause, "write %s, reply lost and row not found", key)
	}
	s.metrics.added.Inc()
	return nil
}

// isPermanent reports whether repeating the call cannot help.
func isPermanent(err error) bool {
	return hosting.IsKind(err, hosting.KindInvalid)
}

func refuseFull(cause error) error {
	return &outcome.Refusal{
		Kind: outcome.KindStoreDown, Outcome: outcome.Ran, Status: http.StatusServiceUnavailable,
		Message: "the group is complete but the store is down and the memory for waiting groups is full",
		Remedy:  "send the group again under the same id", RetryAfter: retryAfterOutage, Err: cause,
	}
}

func refuseWaiting(opts Options, cause error) error {
	return &outcome.Refusal{
		Kind: outcome.KindStoreDown, Outcome: outcome.MayHaveRun, Status: http.StatusServiceUnavailable,
		Message: "the group is complete and waits for the store",
		Remedy:  "send the group again under the same id to learn when it is stored", RetryAfter: opts.RetryInterval, Err: cause,
	}
}
