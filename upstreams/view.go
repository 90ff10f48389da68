package upstreams

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// RemovalGrace is how long entries that lapsed in an outage of the store stay usable after its return. Live upstreams are
// registered again about two seconds after the return.
const RemovalGrace = 2300 * time.Millisecond

// View holds the entries of all upstreams.
type View struct {
	entries map[string]Entry
	// pendingRemovals holds when an entry that was removed in or just after an outage is dropped; zero while the outage lasts.
	pendingRemovals map[string]time.Time
	storeDown       bool
	storeUpAt       time.Time
	// leaving holds the incarnations that said in an answer that they leave, by ID the newest. What their entries say is older.
	leaving map[string]int64
	// ready holds what Ready has returned since the last change.
	ready map[string][]Entry
}

// NewView returns an empty view.
func NewView() *View {
	return &View{entries: map[string]Entry{}, pendingRemovals: map[string]time.Time{}, leaving: map[string]int64{}, ready: map[string][]Entry{}}
}

// maxLeaving bounds the incarnations that are remembered to leave; those without an entry go first.
const maxLeaving = 4096

// MarkLeaving takes the word of an upstream that it leaves. It takes nothing new from then on, whatever its entry says, until
// another incarnation has its ID. It reports whether that is news.
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

// Put takes a new or changed entry.
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

// Remove takes the removal of an entry. In an outage and just after it the removal may only mean that the upstream could
// not renew its entry, so it is put off.
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

// Discard drops an entry that became unreadable; it names no upstream any more.
func (v *View) Discard(id string) {
	delete(v.entries, id)
	delete(v.pendingRemovals, id)
	clear(v.ready)
}

// Replace takes the whole table, read at once.
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

// StoreUnavailable tells that the store does not answer.
func (v *View) StoreUnavailable() { v.storeDown = true }

// StoreAvailable tells that the store answers again.
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

// Expire drops the entries whose grace is over and returns their IDs in order.
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

// Ready returns the upstreams of a service that take work, ordered by ID. The caller must not change the list.
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
