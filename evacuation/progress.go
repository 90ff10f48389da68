package evacuation

import (
	"slices"
	"time"
)

// Host is a live host with the orders that its last heartbeat named.
type Host struct {
	Name   string
	Orders []Order
}

// overdueAfter is how long hosts may take to hear of an order before operators are warned: several heartbeats, and less than
// an operator waits for the effect.
const overdueAfter = 4 * time.Second

// Event says how far an order has come.
type Event struct {
	Order
	// Missing names the live hosts that do not apply the order yet. Without any, all of them apply it.
	Missing []string
	// Took is the time since this process learned of the order.
	Took time.Duration
}

// Progress follows how many hosts apply the orders in force. The zero value is ready for use.
type Progress struct {
	// settled holds the versions of the orders that all hosts apply, and warned those for which hosts are overdue.
	settled, warned map[string]int64
}

// Missing returns the hosts that do not apply an order yet.
func Missing(order Order, hosts []Host) []string {
	var missing []string
	for _, h := range hosts {
		applies := slices.ContainsFunc(h.Orders, func(o Order) bool {
			return o.DataCentre == order.DataCentre && o.Version >= order.Version
		})
		if !applies {
			missing = append(missing, h.Name)
		}
	}
	return missing
}

// Update compares the orders in force with what the other live hosts apply, and returns what operators have not been told.
func (p *Progress) Update(o *Orders, hosts []Host, now time.Time) []Event {
	if p.settled == nil {
		p.settled, p.warned = map[string]int64{}, map[string]int64{}
	}
	var events []Event
	for _, order := range o.Active() {
		if p.settled[order.DataCentre] == order.Version {
			continue
		}
		event := Event{Order: order, Missing: Missing(order, hosts), Took: now.Sub(o.known[order.DataCentre].since)}
		switch {
		case len(event.Missing) == 0:
			p.settled[order.DataCentre] = order.Version
		case event.Took < overdueAfter || p.warned[order.DataCentre] == order.Version:
			continue
		default:
			p.warned[order.DataCentre] = order.Version
		}
		events = append(events, event)
	}
	return events
}
