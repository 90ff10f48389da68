package admission

import "time"

// flowFor returns the flow of an item's workspace. The start tag of a flow that becomes backlogged is at least the
// virtual time, so that an idle workspace accumulates no credit.
func (q *Queue) flowFor(item Item) *flow {
	f, ok := q.flows[item.Workspace]
	if !ok {
		f = &flow{workspace: item.Workspace, startTag: q.virtualTime}
		q.flows[item.Workspace] = f
	}
	f.weight = item.Weight
	if f.len() == 0 {
		f.startTag = max(f.startTag, q.virtualTime)
	}
	return f
}

// nextFlow returns the flow to serve: of the backlogged flows whose start tag has been reached, the one with the lowest
// finish tag. When none has been reached, virtual time moves to the lowest start tag first.
func (q *Queue) nextFlow() *flow {
	if q.queuedItems == 0 {
		return nil
	}
	q.virtualTime = max(q.virtualTime, q.lowestStart())
	var best *flow
	for _, f := range q.flows {
		if f.len() == 0 || f.startTag > q.virtualTime {
			continue
		}
		if best == nil || servedBefore(f, best) {
			best = f
		}
	}
	return best
}

// servedBefore orders flows by finish tag and then by workspace, so that the result does not depend on the map's order.
func servedBefore(a, b *flow) bool {
	fa, fb := a.finishTag(), b.finishTag()
	if fa != fb {
		return fa < fb
	}
	return a.workspace < b.workspace
}

func (q *Queue) lowestStart() float64 {
	lowest, found := 0.0, false
	for _, f := range q.flows {
		if f.len() > 0 && (!found || f.startTag < lowest) {
			lowest, found = f.startTag, true
		}
	}
	return lowest
}

// admit admits the head item of a flow. Virtual time advances by the cost divided by the total weight of the backlogged
// flows.
func (q *Queue) admit(f *flow, now time.Time) Item {
	weight := 0.0
	for _, other := range q.flows {
		if other.len() > 0 {
			weight += other.weight
		}
	}
	item := f.pop()
	q.queuedItems--
	q.queuedTokens -= item.Cost
	f.charge(item.Cost)
	f.running++
	q.virtualTime += float64(item.Cost) / weight
	q.running[item.ID] = runningItem{workspace: f.workspace, cost: item.Cost, admittedAt: now}
	q.outstanding += item.Cost
	return item
}

// fits reports whether the window has room for an item. An item of any cost fits when nothing is running.
func (q *Queue) fits(item Item) bool {
	if len(q.running) == 0 {
		return true
	}
	return len(q.running) < q.cfg.WindowItems && q.outstanding+item.Cost <= q.cfg.WindowTokens
}

// removeIdleFlows removes flows without items whose start tag is not ahead of virtual time. Once the whole queue is
// idle, it removes all flows, whatever their start tags.
func (q *Queue) removeIdleFlows() {
	idle := q.queuedItems == 0 && len(q.running) == 0
	for name, f := range q.flows {
		if f.len() == 0 && f.running == 0 && (idle || f.startTag <= q.virtualTime) {
			delete(q.flows, name)
		}
	}
}

// mostOverShare returns the flow with the most queued items relative to its weight, if that is more than the workspace
// of the new item would have; nil otherwise.
func (q *Queue) mostOverShare(item Item) *flow {
	own := 1.0
	if f, ok := q.flows[item.Workspace]; ok {
		own += float64(f.len())
	}
	var worst *flow
	highest := own / item.Weight
	for _, f := range q.flows {
		share := float64(f.len()) / f.weight
		if share > highest || (worst != nil && share == highest && f.workspace < worst.workspace) {
			worst, highest = f, share
		}
	}
	return worst
}

// removeLast removes and returns the item of a flow that would be served last.
func (q *Queue) removeLast(f *flow) Item {
	last := f.last()
	return q.removeFrom(f, func(i Item) bool { return i.ID == last.ID })[0]
}

// removeFrom removes items from a flow and from the totals.
func (q *Queue) removeFrom(f *flow, match func(Item) bool) []Item {
	removed := f.remove(match)
	for _, i := range removed {
		q.queuedItems--
		q.queuedTokens -= i.Cost
	}
	return removed
}

func (q *Queue) removeWhere(now time.Time, match func(Item) bool) []Item {
	var removed []Item
	for _, name := range q.workspaces() {
		removed = append(removed, q.removeFrom(q.flows[name], match)...)
	}
	if len(removed) > 0 {
		q.removeIdleFlows()
		q.meter.setBacklogged(q.queuedItems > 0, now)
	}
	return removed
}
