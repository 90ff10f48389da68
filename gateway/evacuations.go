package gateway

import (
	"errors"
	"math"
	"time"

	"github.com/radishshelf/radishshelf/evacuation"
	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/presence"
	"github.com/radishshelf/radishshelf/upstreams"
)

// operatorSource names the operators' table as the source of an evacuation in the log; other sources are peers.
const operatorSource = "operators"

// errEvacuated is the error of a control call to an upstream in an evacuated data centre, which is not made.
var errEvacuated = errors.New("the data centre of the upstream is evacuated")

// applyEvacuation takes an order for a data centre into account.
func (g *Gateway) applyEvacuation(order evacuation.Order, source string) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.evacuations.Observe(order, now) {
		g.evacuationChanged(order, source)
	}
}

// resetEvacuations takes a reading of the whole table of the operators into account. Orders whose rows are gone were taken
// back.
func (g *Gateway) resetEvacuations(rows []hosting.StoredRow, version int64) {
	var orders []evacuation.Order
	for _, r := range rows {
		if dataCentre, ok := g.opts.Codec.EvacuatedDataCentre(r.Key); ok {
			orders = append(orders, evacuation.Order{DataCentre: dataCentre, Version: r.Version, Active: true})
		}
	}
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, order := range g.evacuations.Replace(orders, version, now) {
		g.evacuationChanged(order, operatorSource)
	}
}

// observeEvacuations takes the orders into account that another host knows. The caller holds g.mu.
func (g *Gateway) observeEvacuations(b presence.Heartbeat) {
	if b.Host == g.opts.Host {
		return
	}
	now := time.Now()
	for _, order := range b.Evacuations {
		if g.evacuations.Observe(order, now) {
			g.evacuationChanged(order, b.Host)
		}
	}
}

// evacuationChanged logs an order that was given or taken back, and lets waiting work choose anew. The caller holds g.mu.
func (g *Gateway) evacuationChanged(order evacuation.Order, source string) {
	log := g.opts.Log.Info().Str("data_centre", order.DataCentre).Int64("order_version", order.Version).Str("heard_from", source)
	if order.Active {
		running := 0
		for id, n := range g.inFlight {
			if u, ok := g.upstreams.Get(id); ok && u.DataCentre == order.DataCentre {
				running += n
			}
		}
		log.Int("in_progress", running).Msg("data centre evacuated: nothing more is sent there")
	} else {
		log.Msg("evacuation of a data centre taken back: load returns")
	}
	g.wakeScheduler()
}

// followEvacuations logs how many of the other live hosts apply the evacuations. The caller holds g.mu.
func (g *Gateway) followEvacuations(now time.Time) {
	if !g.evacuations.Any() {
		return
	}
	for _, e := range g.evacuationProgress.Update(&g.evacuations, g.evacuationHosts(), now) {
		if len(e.Missing) == 0 {
			g.opts.Log.Info().Str("data_centre", e.DataCentre).Int64("order_version", e.Version).Dur("took_ms", e.Took).
				Msg("all live hosts apply the evacuation")
			continue
		}
		g.opts.Log.Warn().Str("data_centre", e.DataCentre).Int64("order_version", e.Version).Strs("missing", e.Missing).
			Msg("hosts do not apply the evacuation yet")
	}
}

// evacuationHosts returns the other live hosts with the orders that they apply. The caller holds g.mu.
func (g *Gateway) evacuationHosts() []evacuation.Host {
	var hosts []evacuation.Host
	for _, b := range g.peers.Live() {
		if b.Host != g.opts.Host {
			hosts = append(hosts, evacuation.Host{Name: b.Host, Orders: b.Evacuations})
		}
	}
	return hosts
}

// evacuationHostsMissing returns how many hosts lack one of the orders in force. The caller holds g.mu.
func (g *Gateway) evacuationHostsMissing() int {
	missing := map[string]bool{}
	hosts := g.evacuationHosts()
	for _, order := range g.evacuations.Active() {
		for _, host := range evacuation.Missing(order, hosts) {
			missing[host] = true
		}
	}
	return len(missing)
}

// isEvacuated reports whether nothing may be sent to an upstream.
func (g *Gateway) isEvacuated(u upstreams.Entry) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.evacuations.Evacuated(u.DataCentre)
}

// usableSlots returns the slots of an upstream that new requests may count on. After an evacuation they come back by and by,
// so that the load of other data centres does not move over at once. The caller holds g.mu.
func (g *Gateway) usableSlots(u upstreams.Entry, now time.Time) float64 {
	return float64(max(u.Slots, 1)) * g.evacuations.Share(u.DataCentre, now)
}

// usableEngineSlots is usableSlots for an engine, which serves at least one text.
func (g *Gateway) usableEngineSlots(u upstreams.Entry, now time.Time) int {
	share := g.evacuations.Share(u.DataCentre, now)
	if share == 1 || u.Slots <= 0 {
		return u.Slots
	}
	return max(int(math.Floor(share*float64(u.Slots))), 1)
}
