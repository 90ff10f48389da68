package upstreams

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// RemovalGrace is how long entries that expired during an outage of the store stay usable after its return. Live
// upstreams register again about two seconds after the return.
const RemovalGrace = 2300 * time.Millisecond

// View holds the entries of all upstreams. It is not safe for concurrent use.
type View struct {
	entries map[string]Entry
	// pendingRemovals holds the time at which an entry removed during or just after an outage is dropped; zero during
	// the outage.
	pendingRemovals map[string]time.Time
	storeDown       bool
	storeUpAt       time.Time
	// leaving holds, by upstream ID, the latest incarnation that announced its shutdown in a response. Its entry may
	// still be older than that.
	leaving map[string]int64
	// ready caches the results of Ready since the last change.
	ready map[string][]Entry
}

// NewView returns an empty view.
func NewView() *View {
	return &View{entries: map[string]Entry{}, pendingRemovals: map[string]time.Time{}, leaving: map[string]int64{}, ready: map[string][]Entry{}}
}

// maxLeaving bounds the number of leaving incarnations that are remembered; those without an entry are dropped first.
const maxLeaving = 4096

// MarkLeaving records that an incarnation of an upstream announced its shutdown. It counts as draining from then on,
// whatever its entry says, until another incarnation takes its ID. MarkLeaving reports whether this was not known
// before.
func (v *View) MarkLeaving(id string, born int64) bool {
	if known, ok := v.leaving[id]; ok && known == born {
		return false
	}
	if len(v.leaving) >= maxLeaving {
		maps.DeleteFunc(v.leaving, func(id string, _ int64) bool { _, ok := v.entries[id]; return !ok })
	}
	v.leaving[id] = born
	if e, ok := v.entries[id]; ok && e.Born == born {
		e.State = Draining
		v.entries[id] = e
		clear(v.ready)
	}
	return true
}

// Put adds or updates an entry.
func (v *View) Put(e Entry) {
	if born, ok := v.leaving[e.ID]; ok && born == e.Born {
		e.State = Draining
	} else if ok && born < e.Born {
		delete(v.leaving, e.ID)
	}
	v.entries[e.ID] = e
	delete(v.pendingRemovals, e.ID)
	clear(v.ready)
}

// Remove handles the removal of an entry. During an outage of the store and just after it, a removal may only mean that
// the upstream could not renew its entry, so it is delayed.
func (v *View) Remove(id string, now time.Time) {
	if _, ok := v.entries[id]; !ok {
		return
	}
	if _, pending := v.pendingRemovals[id]; pending {
		return
	}
	if v.storeDown {
		v.pendingRemovals[id] = time.Time{}
		return
	}
	if until := v.storeUpAt.Add(RemovalGrace); !v.storeUpAt.IsZero() && now.Before(until) {
		v.pendingRemovals[id] = until
		return
	}
	delete(v.entries, id)
	clear(v.ready)
}

// Discard drops an entry that became unreadable and therefore identifies no upstream any more.
func (v *View) Discard(id string) {
	delete(v.entries, id)
	delete(v.pendingRemovals, id)
	clear(v.ready)
}

// Replace sets the view to the content of the whole table, read at once.
func (v *View) Replace(list []Entry, now time.Time) {
	present := make(map[string]bool, len(list))
	for _, e := range list {
		present[e.ID] = true
		v.Put(e)
	}
	for id := range v.entries {
		if !present[id] {
			v.Remove(id, now)
		}
	}
}

// StoreUnavailable records that the store does not respond.
func (v *View) StoreUnavailable() { v.storeDown = true }

// StoreAvailable records that the store responds again.
func (v *View) StoreAvailable(now time.Time) {
	if !v.storeDown {
		return
	}
	v.storeDown = false
	v.storeUpAt = now
	for id, at := range v.pendingRemovals {
		if at.IsZero() {
			v.pendingRemovals[id] = now.Add(RemovalGrace)
		}
	}
}

// Expire drops the entries whose grace period is over and returns their IDs in ascending order.
func (v *View) Expire(now time.Time) []string {
	var expired []string
	for id, at := range v.pendingRemovals {
		if !at.IsZero() && !now.Before(at) {
			expired = append(expired, id)
			v.Discard(id)
		}
	}
	slices.Sort(expired)
	return expired
}

// Get returns the entry of an upstream.
func (v *View) Get(id string) (Entry, bool) {
	e, ok := v.entries[id]
	return e, ok
}

// All returns every entry, ordered by ID.
func (v *View) All() []Entry {
	return slices.SortedFunc(maps.Values(v.entries), func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
}

// Ready returns the upstreams of a service that accept work, ordered by ID. The caller must not change the list.
func (v *View) Ready(service string) []Entry {
	if list, ok := v.ready[service]; ok {
		return list
	}
	list := []Entry{}
	for _, e := range v.entries {
		if e.Service == service && e.State == Ready {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	v.ready[service] = list
	return list
}

// Len returns the number of entries.
func (v *View) Len() int { return len(v.entries) }
