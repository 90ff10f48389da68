package roles

import (
	"context"
	"time"
)

// RunPeriodically calls fn once per interval until ctx is done, and onError with each error that fn returns.
func RunPeriodically(
	ctx context.Context, interval time.Duration, fn func(context.Context) error, onError func(error),
) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			if err := fn(ctx); err != nil {
				onError(err)
			}
		}
	}
}
