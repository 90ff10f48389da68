package httpapi

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
)

type weights struct{ c *client }

// Open implements platform.Weights. Reading is bounded by ctx alone, because large blobs take long at the store's rate.
func (w weights) Open(ctx context.Context, policy string, version int64) (io.ReadCloser, error) {
	path := pathWeights + url.PathEscape(policy) + "/" + strconv.FormatInt(version, 10)
	resp, err := w.c.do(ctx, "weight open", http.MethodGet, path, read, nil)
	if err != nil {
		return nil, err
	}
	return resp.Body, nil
}
