package roles

import (
	"context"
	"time"
)

// RunPeriodically calls round at every interval until ctx ends, and failed with its errors.
func RunPeriodically(ctx context.Context, interval time.Duration, round func(context.Context) error, failed func(error)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			if err := round(ctx); err != nil {
				failed(err)
			}
		}
	}
}
