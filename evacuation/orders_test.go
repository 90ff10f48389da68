package evacuation

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/radishshelf/radishshelf/goldentest"
)

// Guards against unreviewed changes of which data centres count as evacuated, in any order of readings, and of how load
// returns.
func TestSessions(t *testing.T) {
	goldentest.Run(t, "testdata/*.golden", func(t *testing.T, _, script string) string {
		s := &session{t: t, now: time.Unix(100, 0)}
		return goldentest.ReplayEvents(script, s.run)
	})
}

type session struct {
	t        *testing.T
	orders   Orders
	progress Progress
	hosts    []Host
	now      time.Time
}

func (s *session) version(word string) int64 {
	n, err := strconv.ParseInt(word, 10, 64)
	if err != nil {
		s.t.Fatal(err)
	}
	return n
}

func (s *session) run(words []string) []string {
	switch words[0] {
	case "given", "removed": // given DATA-CENTRE VERSION
		s.orders.Observe(Order{DataCentre: words[1], Version: s.version(words[2]), Active: words[0] == "given"}, s.now)
	case "table": // table VERSION DATA-CENTRE=VERSION...
		var rows []Order
		for _, row := range words[2:] {
			dataCentre, version, _ := strings.Cut(row, "=")
			rows = append(rows, Order{DataCentre: dataCentre, Version: s.version(version), Active: true})
		}
		s.orders.Replace(rows, s.version(words[1]), s.now)
	case "host": // host NAME DATA-CENTRE=VERSION...
		h := Host{Name: words[1]}
		for _, row := range words[2:] {
			dataCentre, version, _ := strings.Cut(row, "=")
			h.Orders = append(h.Orders, Order{DataCentre: dataCentre, Version: s.version(version), Active: true})
		}
		s.hosts = append(slices.DeleteFunc(s.hosts, func(o Host) bool { return o.Name == h.Name }), h)
	case "advance":
		d, err := time.ParseDuration(words[1])
		if err != nil {
			s.t.Fatal(err)
		}
		s.now = s.now.Add(d)
	default:
		s.t.Fatalf("unknown event %q", words[0])
	}
	return s.state()
}

func (s *session) state() []string {
	var lines []string
	for _, order := range s.orders.Report(s.now) {
		lines = append(lines, fmt.Sprintf("%s version %d active %t share %.2f", order.DataCentre, order.Version, order.Active,
			s.orders.Share(order.DataCentre, s.now)))
	}
	for _, e := range s.progress.Update(&s.orders, s.hosts, s.now) {
		lines = append(lines, fmt.Sprintf("event %s version %d missing %v after %s", e.DataCentre, e.Version, e.Missing, e.Took))
	}
	return lines
}

// Guards against an older reading that wins over a newer one, from whichever source and in whichever order they come, and
// against hosts that never agree.
func TestNewestReadingWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}
		var history []Order // in the order in which the operators' table changed
		active := map[string]bool{}
		for i := range rapid.IntRange(1, 12).Draw(t, "changes") {
			name := rapid.SampledFrom(names).Draw(t, "name")
			active[name] = !active[name]
			history = append(history, Order{DataCentre: name, Version: int64(i + 1), Active: active[name]})
		}
		now := time.Unix(100, 0)
		var o Orders
		newest := map[string]Order{}
		learn := func(order Order) {
			if order.Version > newest[order.DataCentre].Version {
				newest[order.DataCentre] = order
			}
		}
		for range rapid.IntRange(0, 30).Draw(t, "readings") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "whole table") {
				version := rapid.IntRange(1, len(history)).Draw(t, "as of")
				rows, read := tableAt(history[:version])
				o.Replace(rows, int64(version), now)
				for _, name := range names {
					if order, ok := read[name]; ok && order.Active {
						learn(order)
					} else if newest[name].Active && int64(version) > newest[name].Version {
						newest[name] = Order{DataCentre: name, Version: int64(version)}
					}
				}
			} else {
				order := rapid.SampledFrom(history).Draw(t, "change")
				o.Observe(order, now)
				learn(order)
			}
			for _, name := range names {
				if o.Evacuated(name) != newest[name].Active {
					t.Fatalf("%s is evacuated: %t, newest reading %+v", name, o.Evacuated(name), newest[name])
				}
				if share := o.Share(name, now); share < 0 || share > 1 || (share == 0) != newest[name].Active {
					t.Fatalf("%s gets a share of %g", name, share)
				}
			}
		}
		rows, _ := tableAt(history)
		o.Replace(rows, int64(len(history)), now)
		for _, name := range names {
			if o.Evacuated(name) != active[name] {
				t.Fatalf("%s is evacuated: %t, in the table: %t", name, o.Evacuated(name), active[name])
			}
		}
	})
}

// tableAt returns the rows of the table after a history, and the newest change of each data centre.
func tableAt(history []Order) (rows []Order, newest map[string]Order) {
	newest = map[string]Order{}
	for _, order := range history {
		newest[order.DataCentre] = order
	}
	for _, order := range newest {
		if order.Active {
			rows = append(rows, order)
		}
	}
	return rows, newest
}
