package gateway

import (
	"strconv"
	"time"

	"github.com/radishshelf/radishshelf/quarantine"
	"github.com/radishshelf/radishshelf/upstreamcall"
	"github.com/radishshelf/radishshelf/upstreams"
)

// suspects is what this process knows about requests that may crash upstreams: requests under which upstreams ended. The
// lock of the gateway guards it.
type suspects struct {
	ledger *quarantine.Ledger
	// fingerprintKey is the key of the fingerprints, shared by all hosts; nil until it has been read.
	fingerprintKey quarantine.Key
	// endChecks holds the last check of each upstream of a broken run.
	endChecks map[quarantine.UpstreamIncarnation]*endCheck
	// rowVersions maps fingerprints to the row versions of their cases. removedVersions holds the versions of removals by
	// this process that the watch has not returned yet.
	rowVersions, removedVersions map[string]int64
	// changed holds the fingerprints of the cases to be written to the store or removed from it.
	changed map[string]bool
	// loaded is set once the table has been read.
	loaded bool
	// isolated counts the isolated requests of this process at each upstream.
	isolated map[string]int
	// wakeCh wakes the loop that synchronizes the cases with the store.
	wakeCh chan struct{}
}

func newSuspects(cfg quarantine.LedgerConfig) *suspects {
	if cfg.RetryDelays == nil {
		cfg = quarantine.DefaultLedgerConfig()
	}
	return &suspects{
		ledger: quarantine.NewLedger(cfg), endChecks: map[quarantine.UpstreamIncarnation]*endCheck{},
		rowVersions: map[string]int64{}, removedVersions: map[string]int64{}, changed: map[string]bool{}, isolated: map[string]int{},
		wakeCh: make(chan struct{}, 1),
	}
}

// markChanged schedules the row of a case to be written or removed.
func (s *suspects) markChanged(fingerprint string) {
	s.changed[fingerprint] = true
	s.wake()
}

// wake triggers a pass of suspectSyncLoop without blocking.
func (s *suspects) wake() {
	select {
	case s.wakeCh <- struct{}{}:
	default:
	}
}

// endOf identifies the end of the incarnation that an entry describes.
func endOf(u upstreams.Entry) quarantine.UpstreamIncarnation {
	return quarantine.UpstreamIncarnation{Upstream: u.ID, Incarnation: strconv.FormatInt(u.Born, 10)}
}

// fingerprint identifies a request across its attempts; it is empty until the key has been read. The caller holds the
// lock.
func (g *Gateway) fingerprint(r *upstreamcall.Request) string {
	if g.suspects.fingerprintKey == nil {
		return ""
	}
	return g.suspects.fingerprintKey.Fingerprint(r.Workspace, r.Method+" "+r.Target, r.Body)
}

// recordUpstreamEnd records that an incarnation has ended; seen says how this was noticed. The end of one that was
// draining is expected and ignored. The caller holds g.mu.
func (g *Gateway) recordUpstreamEnd(u upstreams.Entry, seen string) {
	if e, ok := g.upstreams.Get(u.ID); ok && e.Born == u.Born && e.State == upstreams.Draining {
		return
	}
	suspected, isNew := g.suspects.ledger.RecordEnd(endOf(u), time.Now())
	if !isNew {
		return
	}
	g.metrics.upstreamsEnded(seen).Inc()
	g.opts.Log.Info().Str("upstream", u.ID).Int64("born", u.Born).Str("seen", seen).Strs("suspects", suspected).
		Msg("upstream ended")
	for _, fingerprint := range suspected {
		g.recordSuspectEnd(fingerprint, u)
	}
}

// recordSuspectEnd logs that the end of an upstream counts against a request, and schedules the write of its case. The
// caller holds g.mu.
func (g *Gateway) recordSuspectEnd(fingerprint string, u upstreams.Entry) {
	g.metrics.suspectEnds.Inc()
	c, _ := g.suspects.ledger.Case(fingerprint)
	g.opts.Log.Warn().Str("fingerprint", fingerprint).Str("upstream", u.ID).Int("ends", len(c.Ends)).
		Msg("upstream ended during a request")
	g.suspects.markChanged(fingerprint)
}
