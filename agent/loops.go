package agent

import (
	"context"
	"crypto/tls"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/radishshelf/radishshelf/callproof"
	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/rpc"
)

// Limits of the shutdown after the last stream has ended.
const (
	// lastFlushTime bounds the wait for the table; entries keep records that an agent could not flush.
	lastFlushTime = 10 * time.Second
	flushRetry    = 500 * time.Millisecond
	shutdownTime  = 5 * time.Second
)

// startLoops runs the periodic work until the returned function is called.
func (a *Agent) startLoops(config *tls.Config) (*errgroup.Group, context.CancelFunc) {
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error {
		a.runProbes(ctx)
		return nil
	})
	group.Go(func() error {
		a.newHeartbeats(config).run(ctx)
		return nil
	})
	group.Go(func() error {
		a.runFlushes(ctx)
		return nil
	})
	if a.settings.Kind == fleetconfig.UpstreamEngine {
		group.Go(func() error {
			a.orders.run(ctx)
			return nil
		})
	}
	return &group, stop
}

func (a *Agent) newHeartbeats(config *tls.Config) *heartbeats {
	scheme := "http"
	if config != nil {
		scheme = "https"
	}
	transport := &http.Transport{TLSClientConfig: config.Clone(), MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTimeout}
	client := &http.Client{Transport: callproof.Transport(string(a.credential), transport)}
	return &heartbeats{agent: a, client: client, scheme: scheme, peers: map[string]rpc.Peer{}}
}

func (a *Agent) runFlushes(ctx context.Context) {
	ticker := time.NewTicker(a.settings.UsageFlushInterval.D())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if a.recorder.Window().Length == 0 {
			continue // no entry has told the length of the usage windows yet
		}
		if err := a.flusher.Flush(ctx); err != nil {
			a.logger.Warn().Err(err).Msg("usage flush failed")
		}
	}
}

// lastFlush makes the rest of the usage durable, or gives up after a while and leaves it to the entries.
func (a *Agent) lastFlush() {
	ctx, cancel := context.WithTimeout(context.Background(), lastFlushTime)
	defer cancel()
	var err error
	for a.recorder.Pending() > 0 && ctx.Err() == nil {
		err = a.flusher.Flush(ctx)
		if err == nil {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(flushRetry):
		}
	}
	if pending := a.recorder.Pending(); pending > 0 {
		a.logger.Warn().Err(err).Int("records", pending).Msg("usage left to entries")
	}
}

// lastReport tells the entries which usage is durable.
func (a *Agent) lastReport(config *tls.Config) {
	last := a.newHeartbeats(config)
	last.seq = lastReportSeq
	last.round(context.Background())
}

// lastReportSeq orders the report of a stopped agent after all others.
const lastReportSeq = 1 << 62

func shutdown(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTime)
	defer cancel()
	_ = server.Shutdown(ctx)
}
