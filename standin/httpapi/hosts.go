package httpapi

import (
	"context"

	"github.com/radishshelf/radishshelf/hosting"
)

type hosts struct{ c *client }

// List implements hosting.Hosts.
func (h hosts) List(ctx context.Context) ([]hosting.Host, error) {
	var resp hostsResponse
	err := h.c.callJSON(ctx, "host list", pathHosts, read, empty{}, &resp)
	return resp.Hosts, err
}
