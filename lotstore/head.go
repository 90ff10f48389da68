package lotstore

import (
	"context"
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/lots"
)

// headState is a trainer's head, as read or as last written, with its row key and revision.
type headState struct {
	lots.Head
	key      string
	revision int64
}

func (s *Store) readHead(ctx context.Context, trainer string) (*headState, error) {
	state := &headState{key: headKey(trainer)}
	revision, err := s.readJSON(ctx, state.key, &state.Head)
	if hosting.IsKind(err, hosting.KindNotFound) {
		return state, nil
	}
	state.revision = revision
	return state, err
}

func (s *Store) readLot(ctx context.Context, trainer string, number int64) (lots.Lot, int64, error) {
	var lot lots.Lot
	revision, err := s.readJSON(ctx, lotKey(trainer, number), &lot)
	return lot, revision, err
}

// commitHead writes the next head in one transaction with txn and updates state. It returns errHeadChanged if a
// condition failed, for example because the head has changed, or if the reply was lost.
func (s *Store) commitHead(ctx context.Context, state *headState, next lots.Head, txn hosting.Txn) error {
	put, err := jsonPut(state.key, next)
	if err != nil {
		return err
	}
	txn.Conditions = append(txn.Conditions, hosting.Condition{Key: state.key, Revision: state.revision})
	txn.Puts = append(txn.Puts, put)
	result, err := s.opts.Table.Commit(ctx, txn)
	if hosting.IsKind(err, hosting.KindUnknown) {
		return errHeadChanged
	}
	if err != nil {
		return eris.Wrapf(err, "write %s", state.key)
	}
	if !result.Committed {
		return errHeadChanged
	}
	state.Head = next
	state.revision = result.Revision
	return nil
}

func (s *Store) readJSON(ctx context.Context, key string, value any) (int64, error) {
	row, err := s.opts.Table.Get(ctx, key)
	if err != nil {
		return 0, eris.Wrapf(err, "read %s", key)
	}
	if err := json.Unmarshal(row.Value, value); err != nil {
		return 0, eris.Wrapf(err, "decode %s", key)
	}
	return row.Revision, nil
}

func jsonPut(key string, value any) (hosting.Put, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return hosting.Put{}, eris.Wrapf(err, "encode %s", key)
	}
	return hosting.Put{Key: key, Value: data}, nil
}
