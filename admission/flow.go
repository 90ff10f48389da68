package admission

import "slices"

// flow is the queue of one workspace. Its tags are in virtual time: tokens divided by weight.
type flow struct {
	workspace string
	weight    float64
	// startTag is the tag of the head item, or of the next item when the flow is empty.
	startTag float64
	// urgent holds the items that complete a group; they are served before the others.
	urgent []Item
	normal []Item
	// queuedTokens is the cost of all queued items, and urgentTokens that of the urgent ones.
	queuedTokens int64
	urgentTokens int64
	// running is the number of admitted items that are not done.
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
	f.queuedTokens += i.Cost
	if i.CompletesGroup {
		f.urgent = append(f.urgent, i)
		f.urgentTokens += i.Cost
		return
	}
	f.normal = append(f.normal, i)
}

// pop removes and returns the head item.
func (f *flow) pop() Item {
	item := f.head()
	f.queuedTokens -= item.Cost
	if len(f.urgent) > 0 {
		f.urgent = f.urgent[1:]
		f.urgentTokens -= item.Cost
		return item
	}
	f.normal = f.normal[1:]
	return item
}

// remove removes and returns all items that match.
func (f *flow) remove(match func(Item) bool) []Item {
	var removed []Item
	filter := func(i Item) bool {
		if !match(i) {
			return false
		}
		f.queuedTokens -= i.Cost
		if i.CompletesGroup {
			f.urgentTokens -= i.Cost
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

// tokensAhead returns the cost of the queued items that are served before a new item.
func (f *flow) tokensAhead(i Item) int64 {
	if i.CompletesGroup {
		return f.urgentTokens
	}
	return f.queuedTokens
}

// charge advances the start tag by a cost, which is negative to correct an estimate downwards.
func (f *flow) charge(tokens int64) {
	f.startTag += float64(tokens) / f.weight
}

// finishTag returns the virtual time at which the head item would be complete.
func (f *flow) finishTag() float64 {
	return f.startTag + float64(f.head().Cost)/f.weight
}
