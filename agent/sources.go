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

// An engine waits for a source in its data centre for storeFallbackDelay plus a random part of storeFallbackJitter
// before it fetches from the weight store itself. The delay covers a fetching engine that hangs; entries replace a
// fetching engine that is lost. In the largest fleet that the system is designed for, 680 engines, a regular staging
// takes about 4 minutes, and engines that fetch earlier overload the store, so that no version is ever complete. With
// the jitter, the first engine that fetches can serve the others.
const (
	storeFallbackDelay  = 5 * time.Minute
	storeFallbackJitter = 5 * time.Minute
)

// updateSources updates the sources of the current order, which change as other engines finish staging. o.mu must be
// held.
func (o *orderReconciler) updateSources(w *rpc.WantedState) {
	if slices.Equal(o.wanted.Sources, w.Sources) && o.wanted.FetchFromStore == w.FetchFromStore {
		return
	}
	// The old value is replaced, not modified, because it may be read without the lock.
	next := &rpc.WantedState{
		Term: o.wanted.Term, Revision: o.wanted.Revision, Policy: o.wanted.Policy, StageVersion: o.wanted.StageVersion,
		ActivateVersion: o.wanted.ActivateVersion, Sources: w.Sources, FetchFromStore: w.FetchFromStore,
	}
	o.wanted = next
	o.wake()
}

// canStage reports whether the version has a source, or the wait for one is over. A version that is to be activated
// does not wait.
func (o *orderReconciler) canStage(w *rpc.WantedState, version int64) bool {
	if version == w.ActivateVersion || len(w.Sources) > 0 || w.FetchFromStore {
		return true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return time.Since(o.wantedSince) >= storeFallbackDelay+o.fallbackJitter
}

// newOrder returns an order whose sources are the engines that hold the version, followed by the weight store.
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

// weightsURL returns the base URL from which other engines copy weights, or "" for plain services.
func (s *Settings) weightsURL() string {
	if s.Kind != fleetconfig.UpstreamEngine {
		return ""
	}
	if s.AdvertisedUpstreamURL != "" {
		return s.AdvertisedUpstreamURL
	}
	return s.UpstreamURL
}
