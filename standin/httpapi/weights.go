package httpapi

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
)

type weights struct{ c *client }

// Open implements hosting.Weights. Only ctx limits the duration of reading, because large blobs take long at the rate
// of the weight store.
func (w weights) Open(ctx context.Context, policy string, version int64) (io.ReadCloser, error) {
	path := pathWeights + url.PathEscape(policy) + "/" + strconv.FormatInt(version, 10)
	resp, err := w.c.do(ctx, "weight open", http.MethodGet, path, read, nil)
	if err != nil {
		return nil, err
	}
	return resp.Body, nil
}
