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
	asked map[quarantine.End]*endCheck
	// kick wakes the loop that exchanges the table with the others.
	kick chan struct{}
}

func newSuspects() *suspects {
	return &suspects{
		ledger: quarantine.NewLedger(quarantine.DefaultLedgerConfig()), asked: map[quarantine.End]*endCheck{},
		kick: make(chan struct{}, 1),
	}
}

func (s *suspects) wake() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// endOf names the end of the incarnation that an entry describes.
func endOf(u upstreams.Entry) quarantine.End {
	return quarantine.End{Upstream: u.ID, Incarnation: strconv.FormatInt(u.Born, 10)}
}

// fingerprint identifies a request across its attempts; it is empty until the key was read. The caller holds the lock.
func (g *Gateway) fingerprint(r *upstreamcall.Request) string {
	if g.suspects.key == nil {
		return ""
	}
	return g.suspects.key.Fingerprint(r.Workspace, r.Method+" "+r.Target, r.Body)
}

// upstreamEnded takes word that an incarnation has ended. The caller holds the lock.
func (g *Gateway) upstreamEnded(u upstreams.Entry, seen string) {
	counted, news := g.suspects.ledger.Ended(endOf(u), time.Now())
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
}
