package configstore

import (
	"context"

	"github.com/radishshelf/radishshelf/fleetconfig"
)

// Write creates or replaces the object if it is at revision expected; 0 means that it must not exist. It returns the
// revision of the change. The error is a *ConflictError, a *fleetconfig.ValidationError or a *hosting.Error.
func (s *Store) Write(
	ctx context.Context, kind fleetconfig.Kind, name string, value any, expected int64,
) (revision int64, err error) {
	return s.Commit(ctx, Change{Kind: kind, Name: name, Value: value, Expected: expected})
}

// Delete deletes the object if it is at revision expected. Its errors are those of Write.
func (s *Store) Delete(ctx context.Context, kind fleetconfig.Kind, name string, expected int64) (revision int64, err error) {
	return s.Commit(ctx, Change{Kind: kind, Name: name, Delete: true, Expected: expected})
}
