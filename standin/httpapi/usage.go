package httpapi

import (
	"context"

	"github.com/radishshelf/radishshelf/hosting"
)

type usageSink struct{ c *client }

// Report implements hosting.UsageSink.
func (u usageSink) Report(ctx context.Context, report hosting.UsageReport) error {
	return u.c.callJSON(ctx, "usage report", pathReport, write, report, &empty{})
}
