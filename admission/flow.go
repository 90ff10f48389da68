package admission

import (
	"cmp"
	"slices"
)

// flow is the queue of one workspace. Its tags are in virtual time: tokens divided by weight.
type flow struct {
	workspace string
	weight    float64
	// startTag is the tag of the head item, or of the next item when the flow is empty.
	startTag float64
	// items is ordered by rank, and by arrival within a rank.
	items []Item
	// running is the number of admitted items that are not done.
	running int
}

func (f *flow) len() int { return len(f.items) }

func (f *flow) head() Item { return f.items[0] }

func (f *flow) push(i Item) { f.items = slices.Insert(f.items, f.position(i), i) }

// position returns the place of a new item.
func (f *flow) position(i Item) int {
	at, _ := slices.BinarySearchFunc(f.items, i.Rank+1, func(queued Item, rank int) int { return cmp.Compare(queued.Rank, rank) })
	return at
}

// pop removes and returns the head item.
func (f *flow) pop() Item {
	item := f.items[0]
	f.items = f.items[1:]
	return item
}

// remove removes and returns all items that match.
func (f *flow) remove(match func(Item) bool) []Item {
	var removed []Item
	f.items = slices.DeleteFunc(f.items, func(i Item) bool {
		matches := match(i)
		if matches {
			removed = append(removed, i)
		}
		return matches
	})
	return removed
}

// last returns the item that would be served last.
func (f *flow) last() Item { return f.items[len(f.items)-1] }

// tokensAhead returns the cost of the queued items that are served before a new item.
func (f *flow) tokensAhead(i Item) int64 {
	sum := int64(0)
	for _, ahead := range f.items[:f.position(i)] {
		sum += ahead.Cost
	}
	return sum
}

// charge advances the start tag by a cost, which is negative to correct an estimate downwards.
func (f *flow) charge(tokens int64) {
	f.startTag += float64(tokens) / f.weight
}

// finishTag returns the virtual time at which the head item would be complete.
func (f *flow) finishTag() float64 {
	return f.startTag + float64(f.head().Cost)/f.weight
}
