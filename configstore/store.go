package configstore

import (
	"context"
	"sync"

	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/hosting"
)

// scanPageSize is the number of rows that one scan requests.
const scanPageSize = 500

// Store reads and changes the configuration objects in the table. It is safe for concurrent use.
type Store struct {
	table hosting.Table

	// mu guards state, the cached configuration against which changes are validated.
	mu    sync.Mutex
	state *fleetconfig.State
}

// New returns a store over table.
func New(table hosting.Table) *Store { return &Store{table: table, state: fleetconfig.NewState()} }

// Head returns the revision of the latest change; 0 if there was none.
func (s *Store) Head(ctx context.Context) (int64, error) {
	_, head, err := s.readHead(ctx)
	return head.Revision, err
}

func (s *Store) readHead(ctx context.Context) (hosting.Row, headRow, error) {
	var head headRow
	row, err := s.table.Get(ctx, headKey)
	if hosting.IsKind(err, hosting.KindNotFound) {
		return hosting.Row{}, head, nil
	}
	if err != nil {
		return hosting.Row{}, head, err
	}
	return row, head, decodeRow(row, &head)
}

// Load returns all objects including tombstones. The result is complete up to revision through; some objects may be
// newer.
func (s *Store) Load(ctx context.Context) (objects []fleetconfig.Object, through int64, err error) {
	// The head is read first, so that any later change is newer than through and is returned by Since(through).
	through, err = s.Head(ctx)
	if err != nil {
		return nil, 0, err
	}
	err = s.scan(ctx, objectPrefix, objectPrefix, func(row hosting.Row) error {
		var o fleetconfig.Object
		if err := decodeRow(row, &o); err != nil {
			return err
		}
		objects = append(objects, o)
		return nil
	})
	return objects, through, err
}

// Since returns the changes after revision, in order and complete up to revision through.
func (s *Store) Since(ctx context.Context, revision int64) (objects []fleetconfig.Object, through int64, err error) {
	through = revision
	err = s.scan(ctx, logPrefix, logKey(revision), func(row hosting.Row) error {
		var entry logRow
		if err := decodeRow(row, &entry); err != nil {
			return err
		}
		objects = append(objects, entry.Object)
		through = entry.Object.Revision
		return nil
	})
	return objects, through, err
}

func (s *Store) scan(ctx context.Context, prefix, after string, visit func(hosting.Row) error) error {
	for {
		rows, err := s.table.Scan(ctx, prefix, after, scanPageSize)
		if err != nil {
			return err
		}
		for _, row := range rows {
			if err := visit(row); err != nil {
				return err
			}
		}
		if len(rows) < scanPageSize {
			return nil
		}
		after = rows[len(rows)-1].Key
	}
}

// viewAt returns the configuration at the given revision or a later one.
func (s *Store) viewAt(ctx context.Context, revision int64) (*fleetconfig.View, error) {
	s.mu.Lock()
	through := s.state.Revision()
	s.mu.Unlock()
	if through < revision {
		objects, newer, err := s.changesAfter(ctx, through)
		if err != nil {
			return nil, err
		}
		s.mu.Lock()
		s.state.Apply(objects)
		s.state.Advance(newer)
		s.mu.Unlock()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.View(), nil
}

// changesAfter returns the changes after through, or all objects if through is 0.
func (s *Store) changesAfter(ctx context.Context, through int64) ([]fleetconfig.Object, int64, error) {
	if through == 0 {
		return s.Load(ctx)
	}
	return s.Since(ctx, through)
}
