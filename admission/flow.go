package admission

import "slices"

// flow is the queue of one workspace. Its tags are in virtual time: tokens divided by weight.
type flow struct {
	workspace string
	weight    float64
	// start is the tag of the head item, or of the next item when the flow is empty.
	start float64
	// urgent items complete a group and go before the others.
	urgent []Item
	normal []Item
	// queued and urgentQueued are the costs waiting in tokens.
	queued       int64
	urgentQueued int64
	// running counts admitted items that are not done.
	running int
}

func (f *flow) len() int { return len(f.urgent) + len(f.normal) }

func (f *flow) head() Item {
	if len(f.urgent) > 0 {
		return f.urgent[0]
	}
	return f.normal[0]
}

func (f *flow) push(i Item) {
	f.queued += i.Cost
	if i.CompletesGroup {
		f.urgent = append(f.urgent, i)
		f.urgentQueued += i.Cost
		return
	}
	f.normal = append(f.normal, i)
}

// pop takes out the head item.
func (f *flow) pop() Item {
	item := f.head()
	f.queued -= item.Cost
	if len(f.urgent) > 0 {
		f.urgent = f.urgent[1:]
		f.urgentQueued -= item.Cost
		return item
	}
	f.normal = f.normal[1:]
	return item
}

// remove takes out all items that match.
func (f *flow) remove(match func(Item) bool) []Item {
	var removed []Item
	filter := func(i Item) bool {
		if !match(i) {
			return false
		}
		f.queued -= i.Cost
		if i.CompletesGroup {
			f.urgentQueued -= i.Cost
		}
		removed = append(removed, i)
		return true
	}
	f.urgent = slices.DeleteFunc(f.urgent, filter)
	f.normal = slices.DeleteFunc(f.normal, filter)
	return removed
}

// last returns the item that would be served last.
func (f *flow) last() Item {
	if n := len(f.normal); n > 0 {
		return f.normal[n-1]
	}
	return f.urgent[len(f.urgent)-1]
}

// ahead is the cost that is served before a new item.
func (f *flow) ahead(i Item) int64 {
	if i.CompletesGroup {
		return f.urgentQueued
	}
	return f.queued
}

// charge moves the start tag by a cost, which is negative for a correction downwards.
func (f *flow) charge(tokens int64) {
	f.start += float64(tokens) / f.weight
}

// finish is the tag at which the head item would be complete.
func (f *flow) finish() float64 {
	return f.start + float64(f.head().Cost)/f.weight
}
