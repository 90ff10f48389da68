package agent

import (
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/radishshelf/radishshelf/agent/engineapi"
	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/rpc"
)

// An engine waits for a copy in its data centre for storeFallbackDelay and a random part of storeFallbackJitter before it
// fetches from the weight store itself. The wait covers an engine that hangs while it fetches; entries replace one that
// is lost by themselves. At the design size a regular staging takes about 4 minutes, and engines that fetch earlier
// overload the store, so that no version is ever complete. The spread lets the first engine serve the others.
const (
	storeFallbackDelay  = 5 * time.Minute
	storeFallbackJitter = 5 * time.Minute
)

// updateSources takes the sources of a state that is wanted already; they change while other engines finish staging.
func (o *orderReconciler) updateSources(w *rpc.WantedState) {
	if slices.Equal(o.wanted.Sources, w.Sources) && o.wanted.FetchFromStore == w.FetchFromStore {
		return
	}
	// Another part may be reading the old value.
	next := &rpc.WantedState{
		Term: o.wanted.Term, Revision: o.wanted.Revision, Policy: o.wanted.Policy, StageVersion: o.wanted.StageVersion,
		ActivateVersion: o.wanted.ActivateVersion, Sources: w.Sources, FetchFromStore: w.FetchFromStore,
	}
	o.wanted = next
	o.wake()
}

// canStage reports whether there is a source for the version, or the wait for one is over. A version that is wanted in
// service is fetched at once from wherever it is.
func (o *orderReconciler) canStage(w *rpc.WantedState, version int64) bool {
	if version == w.ActivateVersion || len(w.Sources) > 0 || w.FetchFromStore {
		return true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return time.Since(o.wantedSince) >= storeFallbackDelay+o.fallbackJitter
}

// newOrder lists the engines that hold the version first; the weight store is the last resort.
func (o *orderReconciler) newOrder(w *rpc.WantedState, version int64) engineapi.Order {
	order := engineapi.Order{Policy: w.Policy, Version: version, Term: w.Term}
	path := url.PathEscape(w.Policy) + "/" + strconv.FormatInt(version, 10)
	if version == w.StageVersion {
		for _, base := range w.Sources {
			order.Sources = append(order.Sources, base+engineapi.PathWeights+path)
		}
	}
	if address := o.agent.settings.PlatformAddress; address != "" {
		order.Sources = append(order.Sources, "http://"+address+"/v1/weights/"+path)
	}
	return order
}

// weightsURL is where other engines reach this one.
func (s *Settings) weightsURL() string {
	if s.Kind != fleetconfig.UpstreamEngine {
		return ""
	}
	if s.AdvertisedUpstreamURL != "" {
		return s.AdvertisedUpstreamURL
	}
	return s.UpstreamURL
}
