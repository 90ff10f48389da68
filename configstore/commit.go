package configstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/hosting"
)

const (
	// maxAttempts bounds the attempts of one change. Of several concurrent changes, one succeeds in each round.
	maxAttempts = 64
	// maxRetryDelay spreads the retries of concurrent changes; a round trip to the table takes a few milliseconds.
	maxRetryDelay = 5 * time.Millisecond
)

// Commit makes a change and returns its revision. It retries the transaction if only other objects have changed in the
// meantime, and it applies the change at most once even if replies are lost.
func (s *Store) Commit(ctx context.Context, change Change) (revision int64, err error) {
	value, err := change.encode()
	if err != nil {
		return 0, eris.Wrapf(err, "%s %q: the value cannot be encoded as JSON", change.Kind, change.Name)
	}
	a := &changeAttempts{store: s, change: change, value: value, id: uuid.NewString()}
	for range maxAttempts {
		revision, done, err := a.tryCommit(ctx)
		if err != nil {
			return 0, a.finalError(err)
		}
		if done {
			return revision, nil
		}
		if err := waitRetry(ctx); err != nil {
			return 0, a.finalError(err)
		}
	}
	return 0, a.finalError(&hosting.Error{
		Kind: hosting.KindUnavailable, Op: "configuration change", Remedy: "repeat the change later",
		Err: fmt.Errorf("concurrent changes were committed first in all %d attempts", maxAttempts),
	})
}

// changeAttempts is the state of one change across its attempts.
type changeAttempts struct {
	store  *Store
	change Change
	value  json.RawMessage
	id     string
	// uncertainRevision is the revision that an attempt with a lost reply may have committed; 0 if the outcome of every
	// attempt is known.
	uncertainRevision int64
}

// tryCommit makes one attempt. It returns done once the change is committed; if it returns neither done nor an error,
// the caller tries again.
func (a *changeAttempts) tryCommit(ctx context.Context) (revision int64, done bool, err error) {
	headRow, head, err := a.store.readHead(ctx)
	if err != nil {
		return 0, false, err
	}
	if committed, err := a.resolveUncertain(ctx, head.Revision); err != nil || committed != 0 {
		return committed, committed != 0, err
	}
	objectRow, current, err := a.store.readObject(ctx, a.change.Kind, a.change.Name)
	if err != nil {
		return 0, false, err
	}
	if current.Revision > head.Revision {
		return 0, false, nil // the object changed after the head was read
	}
	if err := a.check(ctx, head.Revision, current); err != nil {
		return 0, false, err
	}
	return a.commit(ctx, headRow, objectRow, head.Revision+1)
}

// resolveUncertain determines whether the attempt with the lost reply was committed. While the head is below its
// revision, that attempt may still be in transit; the next attempt then has the same conditions, so that the table
// accepts at most one of the two.
func (a *changeAttempts) resolveUncertain(ctx context.Context, head int64) (revision int64, err error) {
	if a.uncertainRevision == 0 || head < a.uncertainRevision {
		return 0, nil
	}
	row, err := a.store.table.Get(ctx, logKey(a.uncertainRevision))
	if err != nil {
		return 0, err
	}
	var entry logRow
	if err := decodeRow(row, &entry); err != nil {
		return 0, err
	}
	if entry.ChangeID == a.id {
		return a.uncertainRevision, nil
	}
	a.uncertainRevision = 0
	return 0, nil
}

// check validates the change against the configuration at the head. The transaction is conditional on that head.
func (a *changeAttempts) check(ctx context.Context, head int64, current fleetconfig.Object) error {
	if !a.change.matches(current) {
		return &ConflictError{Kind: a.change.Kind, Name: a.change.Name, Expected: a.change.Expected, Current: current}
	}
	view, err := a.store.viewAt(ctx, head)
	if err != nil {
		return err
	}
	return a.change.validate(view, a.value)
}

func (a *changeAttempts) commit(ctx context.Context, head, object hosting.Row, next int64) (int64, bool, error) {
	txn, err := a.buildTxn(head, object, next)
	if err != nil {
		return 0, false, err
	}
	result, err := a.store.table.Commit(ctx, txn)
	if hosting.IsKind(err, hosting.KindUnknown) {
		a.uncertainRevision = next
		return 0, false, nil
	}
	if err != nil {
		return 0, false, err
	}
	if !result.Committed {
		return 0, false, a.guardError(result)
	}
	return next, true, nil
}

func (a *changeAttempts) buildTxn(head, object hosting.Row, next int64) (hosting.Txn, error) {
	changed := fleetconfig.Object{
		Kind: a.change.Kind, Name: a.change.Name, Revision: next, Value: a.value, Deleted: a.change.Delete,
	}
	key := objectKey(a.change.Kind, a.change.Name)
	txn := hosting.Txn{Conditions: append([]hosting.Condition{
		{Key: headKey, Revision: head.Revision},
		{Key: key, Revision: object.Revision},
	}, a.change.Guards...)}
	for _, put := range []struct {
		key   string
		value any
	}{{headKey, headRow{Revision: next}}, {key, changed}, {logKey(next), logRow{ChangeID: a.id, Object: changed}}} {
		data, err := json.Marshal(put.value)
		if err != nil {
			return txn, err
		}
		txn.Puts = append(txn.Puts, hosting.Put{Key: put.key, Value: data})
	}
	return txn, nil
}

// guardError returns a *GuardError if a guard is among the conditions that failed, or else nil.
func (a *changeAttempts) guardError(result hosting.TxnResult) error {
	revisions := make(map[string]int64, len(result.Current))
	for _, row := range result.Current {
		revisions[row.Key] = row.Revision
	}
	for _, guard := range a.change.Guards {
		if revisions[guard.Key] != guard.Revision {
			return &GuardError{Kind: a.change.Kind, Name: a.change.Name, Key: guard.Key}
		}
	}
	return nil
}

// finalError returns err, or an error of kind unknown if an attempt with a lost reply may have committed the change.
func (a *changeAttempts) finalError(err error) error {
	if a.uncertainRevision == 0 {
		return err
	}
	return &hosting.Error{
		Kind: hosting.KindUnknown, Op: "configuration change", Err: err,
		Remedy: fmt.Sprintf("the change may have been accepted as revision %d; read %s %q before repeating it",
			a.uncertainRevision, a.change.Kind, a.change.Name),
	}
}

func (s *Store) readObject(ctx context.Context, kind fleetconfig.Kind, name string) (hosting.Row, fleetconfig.Object, error) {
	var o fleetconfig.Object
	row, err := s.table.Get(ctx, objectKey(kind, name))
	if hosting.IsKind(err, hosting.KindNotFound) {
		return hosting.Row{}, o, nil
	}
	if err != nil {
		return hosting.Row{}, o, err
	}
	return row, o, decodeRow(row, &o)
}

// waitRetry waits for a random delay below maxRetryDelay. It returns an error if ctx ends first.
func waitRetry(ctx context.Context) error {
	timer := time.NewTimer(rand.N(maxRetryDelay))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return errors.Join(context.Cause(ctx), errors.New("the change did not complete in time"))
	}
}
