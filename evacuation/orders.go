package evacuation

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// returnTime is the time in which load returns to a data centre after its evacuation: hosts open their connections to
	// its upstreams anew, and their caches are cold.
	returnTime = 5 * time.Second
	// minReturnShare is the share of the load with which a return begins, so that an upstream that alone can serve a
	// request does not rank behind a full one.
	minReturnShare = 0.1
	// reportTime is how long heartbeats name an order that was taken back: longer than a host takes to read the
	// operators' table again after it has lost the changes.
	reportTime = 30 * time.Second
)

// Order is an operator's order for one data centre, in force or taken back.
type Order struct {
	DataCentre string `json:"data_centre"`
	// Version is the version of the operators' table with which the order was given or taken back. Of two orders for a data
	// centre, the one with the higher version holds.
	Version int64 `json:"version"`
	// Active is false once the order is taken back.
	Active bool `json:"active,omitempty"`
}

// Orders holds the newest known order for each data centre. The zero value knows none. It is not safe for concurrent use.
type Orders struct {
	known map[string]*knownOrder
}

type knownOrder struct {
	Order
	// since is when this process learned of the order, or that it was taken back.
	since time.Time
}

// Observe takes an order into account, from the operators' table or from another host. It reports whether this changed
// anything. An older order never replaces a newer one.
func (o *Orders) Observe(order Order, now time.Time) (changed bool) {
	known, ok := o.known[order.DataCentre]
	switch {
	case order.DataCentre == "" || order.Version <= 0:
		return false
	case ok && (order.Version < known.Version || order.Version == known.Version && !(order.Active && !known.Active)):
		return false
	case ok && order.Active == known.Active:
		known.Version = order.Version
		return false
	}
	if o.known == nil {
		o.known = map[string]*knownOrder{}
	}
	o.known[order.DataCentre] = &knownOrder{Order: order, since: now}
	return ok || order.Active
}

// Replace takes a reading of the whole table into account that is as of a version. Orders that it lacks were taken back,
// unless they are newer. It returns the orders that changed.
func (o *Orders) Replace(rows []Order, version int64, now time.Time) []Order {
	present := map[string]bool{}
	for _, r := range rows {
		present[r.DataCentre] = true
	}
	for _, dataCentre := range slices.Sorted(maps.Keys(o.known)) {
		if o.known[dataCentre].Active && !present[dataCentre] {
			rows = append(rows, Order{DataCentre: dataCentre, Version: version})
		}
	}
	var changed []Order
	for _, r := range rows {
		if o.Observe(r, now) {
			changed = append(changed, r)
		}
	}
	return changed
}

// Evacuated reports whether nothing may be sent to the upstreams of a data centre.
func (o *Orders) Evacuated(dataCentre string) bool {
	known, ok := o.known[dataCentre]
	return ok && known.Active
}

// Any reports whether any data centre is evacuated.
func (o *Orders) Any() bool {
	for _, known := range o.known {
		if known.Active {
			return true
		}
	}
	return false
}

// Share returns which share of its usual load a data centre gets: 0 while it is evacuated, rising to 1 within returnTime
// after that.
func (o *Orders) Share(dataCentre string, now time.Time) float64 {
	known, ok := o.known[dataCentre]
	switch {
	case !ok:
		return 1
	case known.Active:
		return 0
	}
	elapsed := float64(now.Sub(known.since)) / float64(returnTime)
	return min(max(elapsed, minReturnShare), 1)
}

// Active returns the orders in force, by data centre.
func (o *Orders) Active() []Order {
	return o.list(func(k *knownOrder) bool { return k.Active })
}

// Report returns the orders that a heartbeat names: those in force, and for a while those taken back.
func (o *Orders) Report(now time.Time) []Order {
	return o.list(func(k *knownOrder) bool { return k.Active || now.Sub(k.since) < reportTime })
}

func (o *Orders) list(include func(*knownOrder) bool) []Order {
	var list []Order
	for _, known := range o.known {
		if include(known) {
			list = append(list, known.Order)
		}
	}
	slices.SortFunc(list, func(a, b Order) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return list
}
