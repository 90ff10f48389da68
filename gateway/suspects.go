package gateway

import (
	"strconv"
	"time"

	"github.com/radishshelf/radishshelf/quarantine"
	"github.com/radishshelf/radishshelf/upstreamcall"
	"github.com/radishshelf/radishshelf/upstreams"
)

// suspects is what this process knows of requests under which upstreams ended. The lock of the gateway guards it.
type suspects struct {
	ledger *quarantine.Ledger
	// fingerprintKey makes the fingerprints, the same at every host; nil until it was read.
	fingerprintKey quarantine.Key
	// endChecks holds the last question to each upstream of a broken run.
	endChecks map[quarantine.End]*endCheck
	// rowVersions holds the rowVersions of the rows of cases, by fingerprint, and removedVersions those of own removals that the watch has
	// not shown yet.
	rowVersions, removedVersions map[string]int64
	// changed holds the fingerprints whose rows are to be written or removed.
	changed map[string]bool
	// loaded tells that the table was loaded once.
	loaded bool
	// isolated counts the requests of this process at each upstream that run isolated from each other.
	isolated map[string]int
	// wakeCh wakes the loop that exchanges the table with the others.
	wakeCh chan struct{}
}

func newSuspects(cfg quarantine.LedgerConfig) *suspects {
	if cfg.Pauses == nil {
		cfg = quarantine.DefaultLedgerConfig()
	}
	return &suspects{
		ledger: quarantine.NewLedger(cfg), endChecks: map[quarantine.End]*endCheck{},
		rowVersions: map[string]int64{}, removedVersions: map[string]int64{}, changed: map[string]bool{}, isolated: map[string]int{},
		wakeCh: make(chan struct{}, 1),
	}
}

// markChanged has the row of a case written or removed.
func (s *suspects) markChanged(fingerprint string) {
	s.changed[fingerprint] = true
	s.wake()
}

func (s *suspects) wake() {
	select {
	case s.wakeCh <- struct{}{}:
	default:
	}
}

// endOf names the end of the incarnation that an entry describes.
func endOf(u upstreams.Entry) quarantine.End {
	return quarantine.End{Upstream: u.ID, Incarnation: strconv.FormatInt(u.Born, 10)}
}

// fingerprint identifies a request across its attempts; it is empty until the key was read. The caller holds the lock.
func (g *Gateway) fingerprint(r *upstreamcall.Request) string {
	if g.suspects.fingerprintKey == nil {
		return ""
	}
	return g.suspects.fingerprintKey.Fingerprint(r.Workspace, r.Method+" "+r.Target, r.Body)
}

// recordUpstreamEnd takes word that an incarnation has ended. One that was leaving did so as planned. The caller holds the lock.
func (g *Gateway) recordUpstreamEnd(u upstreams.Entry, seen string) {
	if e, ok := g.upstreams.Get(u.ID); ok && e.Born == u.Born && e.State == upstreams.Draining {
		return
	}
	suspected, isNew := g.suspects.ledger.Ended(endOf(u), time.Now())
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

// recordSuspectEnd notes that an end counts against a request. The caller holds the lock.
func (g *Gateway) recordSuspectEnd(fingerprint string, u upstreams.Entry) {
	g.metrics.suspectEnds.Inc()
	c, _ := g.suspects.ledger.Case(fingerprint)
	g.opts.Log.Warn().Str("fingerprint", fingerprint).Str("upstream", u.ID).Int("ends", len(c.Ends)).
		Msg("upstream ended under a request")
	g.suspects.markChanged(fingerprint)
}
