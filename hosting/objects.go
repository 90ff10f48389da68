package hosting

import "context"

// Objects is the object store. Objects are immutable; their key is the hash of their content.
type Objects interface {
	Put(ctx context.Context, key string, data []byte) error
	// Get returns the content, or an Error of KindNotFound.
	Get(ctx context.Context, key string) ([]byte, error)
}
