package httpapi

import (
	"context"
	"net/http"
	"net/url"
)

type objects struct{ c *client }

// Put implements hosting.Objects.
func (o objects) Put(ctx context.Context, key string, data []byte) error {
	_, err := o.c.send(ctx, "object put", http.MethodPut, pathObjects+url.PathEscape(key), write, data, maxHeaderBytes)
	return err
}

// Get implements hosting.Objects.
func (o objects) Get(ctx context.Context, key string) ([]byte, error) {
	return o.c.send(ctx, "object get", http.MethodGet, pathObjects+url.PathEscape(key), read, nil, maxObjectBytes)
}
