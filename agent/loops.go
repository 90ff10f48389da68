package agent

import (
	"context"
	"crypto/tls"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/radishshelf/radishshelf/callproof"
	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/httpstatus"
	"github.com/radishshelf/radishshelf/rpc"
)

// Limits on the shutdown after the last request has ended.
const (
	// finalFlushTimeout limits the wait for the usage table. Entries keep the records that an agent could not flush.
	finalFlushTimeout = 10 * time.Second
	flushRetryDelay   = 500 * time.Millisecond
	shutdownTimeout   = 5 * time.Second
)

// startLoops starts the periodic work, which runs until the returned function is called.
func (a *Agent) startLoops(config *tls.Config) (*errgroup.Group, context.CancelFunc) {
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error {
		a.probeLoop(ctx)
		return nil
	})
	group.Go(func() error {
		a.newHeartbeatSender(config).run(ctx)
		return nil
	})
	group.Go(func() error {
		a.flushLoop(ctx)
		return nil
	})
	if a.settings.Kind == fleetconfig.UpstreamEngine {
		group.Go(func() error {
			a.reconciler.run(ctx)
			return nil
		})
	}
	return &group, stop
}

func (a *Agent) newHeartbeatSender(config *tls.Config) *heartbeatSender {
	scheme := "http"
	if config != nil {
		scheme = "https"
	}
	transport := httpstatus.NewTransport(&http.Transport{TLSClientConfig: config.Clone(), MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTimeout})
	client := &http.Client{Transport: callproof.Transport(string(a.credential), transport)}
	return &heartbeatSender{agent: a, client: client, scheme: scheme, peers: map[string]rpc.Peer{}}
}

func (a *Agent) flushLoop(ctx context.Context) {
	ticker := time.NewTicker(a.settings.UsageFlushInterval.D())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if a.recorder.Window().Length == 0 {
			continue // no entry has sent the length of the usage windows yet
		}
		if err := a.flusher.Flush(ctx); err != nil {
			a.logger.Warn().Err(err).Msg("usage flush failed")
		}
	}
}

// finalFlush makes the remaining usage records durable. After finalFlushTimeout it leaves them to the entries.
func (a *Agent) finalFlush() {
	ctx, cancel := context.WithTimeout(context.Background(), finalFlushTimeout)
	defer cancel()
	var err error
	for a.recorder.Pending() > 0 && ctx.Err() == nil {
		err = a.flusher.Flush(ctx)
		if err == nil {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(flushRetryDelay):
		}
	}
	if pending := a.recorder.Pending(); pending > 0 {
		a.logger.Warn().Err(err).Int("records", pending).Msg("usage records not flushed before shutdown; the entries keep them")
	}
}

// finalReport tells the entries which usage records are durable.
func (a *Agent) finalReport(config *tls.Config) {
	sender := a.newHeartbeatSender(config)
	sender.seq = finalReportSeq
	sender.sendRound(context.Background())
}

// finalReportSeq orders the final report after all other reports of the agent.
const finalReportSeq = 1 << 62

func shutdown(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = server.Shutdown(ctx)
}
