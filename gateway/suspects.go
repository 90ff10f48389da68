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
	// key makes the fingerprints, the same at every host; nil until it was read.
	key quarantine.Key
	// asked holds the last question to each upstream of a broken run.
	asked map[quarantine.UpstreamIncarnation]*endCheck
	// versions holds the versions of the rows of cases, by fingerprint, and removed those of own removals that the watch has
	// not shown yet.
	versions, removed map[string]int64
	// changed holds the fingerprints whose rows are to be written or removed.
	changed map[string]bool
	// read tells that the table was read once.
	read bool
	// apart counts the requests of this process at each upstream that run apart from each other.
	apart map[string]int
	// kick wakes the loop that exchanges the table with the others.
	kick chan struct{}
}

func newSuspects(cfg quarantine.LedgerConfig) *suspects {
	if cfg.RetryDelays == nil {
		cfg = quarantine.DefaultLedgerConfig()
	}
	return &suspects{
		ledger: quarantine.NewLedger(cfg), asked: map[quarantine.UpstreamIncarnation]*endCheck{},
		versions: map[string]int64{}, removed: map[string]int64{}, changed: map[string]bool{}, apart: map[string]int{},
		kick: make(chan struct{}, 1),
	}
}

// share has the row of a case written or removed.
func (s *suspects) share(fingerprint string) {
	s.changed[fingerprint] = true
	s.wake()
}

func (s *suspects) wake() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// endOf names the end of the incarnation that an entry describes.
func endOf(u upstreams.Entry) quarantine.UpstreamIncarnation {
	return quarantine.UpstreamIncarnation{Upstream: u.ID, Incarnation: strconv.FormatInt(u.Born, 10)}
}

// fingerprint identifies a request across its attempts; it is empty until the key was read. The caller holds the lock.
func (g *Gateway) fingerprint(r *upstreamcall.Request) string {
	if g.suspects.key == nil {
		return ""
	}
	return g.suspects.key.Fingerprint(r.Workspace, r.Method+" "+r.Target, r.Body)
}

// upstreamEnded takes word that an incarnation has ended. One that was leaving did so as planned. The caller holds the lock.
func (g *Gateway) upstreamEnded(u upstreams.Entry, seen string) {
	if e, ok := g.upstreams.Get(u.ID); ok && e.Born == u.Born && e.State == upstreams.Draining {
		return
	}
	counted, news := g.suspects.ledger.RecordEnd(endOf(u), time.Now())
	if !news {
		return
	}
	g.met.upstreamsEnded(seen).Inc()
	g.opts.Log.Info().Str("upstream", u.ID).Int64("born", u.Born).Str("seen", seen).Strs("suspects", counted).
		Msg("upstream ended")
	for _, fingerprint := range counted {
		g.endCounts(fingerprint, u)
	}
}

// endCounts notes that an end counts against a request. The caller holds the lock.
func (g *Gateway) endCounts(fingerprint string, u upstreams.Entry) {
	g.met.suspectEnds.Inc()
	c, _ := g.suspects.ledger.Case(fingerprint)
	g.opts.Log.Warn().Str("fingerprint", fingerprint).Str("upstream", u.ID).Int("ends", len(c.Ends)).
		Msg("upstream ended under a request")
	g.suspects.share(fingerprint)
}
