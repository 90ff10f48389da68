package evenload

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/radishshelf/radishshelf/goldentest"
	"github.com/radishshelf/radishshelf/placement"
)

// session replays the load that one host sees.
type session struct {
	t       *testing.T
	now     time.Time
	order   []string
	options map[string]*Option
	reports map[string]Report
	times   *ResponseTimes
	chooser *Chooser
}

// Guards against unreviewed changes of the upstream that a load pattern leads to. The first line of each session names
// its pattern.
func TestSessions(t *testing.T) {
	goldentest.Run(t, "testdata/*.golden", func(t *testing.T, _, script string) string {
		s := &session{
			t: t, now: start, options: map[string]*Option{}, reports: map[string]Report{}, times: NewResponseTimes(),
			chooser: NewChooser(func() float64 { return 0 }),
		}
		return goldentest.ReplayEvents(script, s.run)
	})
}

func (s *session) run(words []string) []string {
	values := map[string]string{}
	for _, w := range words[1:] {
		key, value, _ := strings.Cut(w, "=")
		values[key] = value
	}
	number := func(key string) int {
		n, err := strconv.Atoi("0" + values[key])
		if err != nil {
			s.t.Fatal(err)
		}
		return n
	}
	switch words[0] {
	case "upstream": // upstream NAME slots=N own=N distance=N connected= suspect= busy= full= limited=
		if s.options[words[1]] == nil {
			s.order = append(s.order, words[1])
		}
		s.options[words[1]] = &Option{
			ID: words[1], Slots: float64(max(number("slots"), 1)), Own: number("own"), Distance: placement.Distance(number("distance")),
			Connected: values["connected"] != "no", Suspect: values["suspect"] != "", Busy: values["busy"] != "",
			Tried: values["tried"] != "", Full: values["full"] != "", Limited: values["limited"] != "",
		}
	case "report": // report HOST UPSTREAM=N...
		requests := map[string]int{}
		for _, id := range s.order {
			requests[id] = number(id)
		}
		s.reports[words[1]] = Report{HeardAt: s.now, Requests: requests}
	case "advance":
		s.now = s.now.Add(time.Duration(number("ms")) * time.Millisecond)
	case "response": // response UPSTREAM ms=N times=N
		for range max(number("times"), 1) {
			o := s.options[words[1]]
			s.times.Observe("plain", o.ID, o.Distance, time.Duration(number("ms"))*time.Millisecond, s.now)
		}
	case "sent": // sent UPSTREAM times=N
		for range max(number("times"), 1) {
			s.times.Sent(words[1], s.now)
		}
	case "choose":
		return s.choose(Request{
			AllowTried: values["tried"] != "", Yields: values["yields"] != "", Background: values["background"] != "",
		})
	default:
		s.t.Fatalf("no event %s", words[0])
	}
	return nil
}

func (s *session) choose(req Request) []string {
	var reports []Report
	for _, r := range s.reports {
		reports = append(reports, r)
	}
	peers := NewPeerLoad(reports, s.order, s.times.Lifetime(), s.now)
	var options []Option
	for _, id := range s.order {
		o := *s.options[id]
		o.Peers, o.Slowness, o.Share = peers.Expected(id, s.now), s.times.Slowness(id, s.now), s.times.Recent(id, s.now)
		options = append(options, o)
	}
	best, limited := s.chooser.Choose(req, options, s.now)
	if best == nil {
		return []string{fmt.Sprintf("none limited=%t", limited)}
	}
	lines := []string{fmt.Sprintf("%s limited=%t", best.ID, limited)}
	for _, o := range options {
		lines = append(lines, fmt.Sprintf("  %s peers=%.2f slowness=%.2f", o.ID, o.Peers, o.Slowness))
	}
	return lines
}

// Guards against the choice of an upstream that a constraint or a bound rules out, and against none although one is left.
func TestChoiceKeepsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		flag := rapid.Bool()
		req := Request{AllowTried: flag.Draw(t, "allow tried"), Yields: flag.Draw(t, "yields"), Background: flag.Draw(t, "background")}
		var options []Option
		permitted := map[string]bool{}
		for i := range rapid.IntRange(0, 8).Draw(t, "options") {
			o := Option{
				ID: fmt.Sprint("u", i), Slots: rapid.Float64Range(0, 8).Draw(t, "slots"), Own: rapid.IntRange(0, 9).Draw(t, "own"),
				Peers: rapid.Float64Range(0, 20).Draw(t, "peers"), Share: rapid.Float64Range(0, 20).Draw(t, "share"),
				Slowness: rapid.Float64Range(0.1, 10).Draw(t, "slowness"), Tried: flag.Draw(t, "tried"),
				Limited: flag.Draw(t, "limited"), Full: flag.Draw(t, "full"), Suspect: flag.Draw(t, "suspect"),
			}
			permitted[o.ID] = (!o.Tried || req.AllowTried) && !o.Full && !(o.Limited && req.Yields)
			options = append(options, o)
		}
		anyLeft := false
		for _, ok := range permitted {
			anyLeft = anyLeft || ok
		}
		chooser := NewChooser(func() float64 { return 0.5 })
		best, _ := chooser.Choose(req, options, start)
		for _, o := range options {
			if total := chooser.Explain(req, o, start).Total; math.IsNaN(total) || math.IsInf(total, 0) {
				t.Fatalf("cost %g of %+v", total, o)
			}
		}
		if anyLeft != (best != nil) || best != nil && !permitted[best.ID] {
			t.Fatalf("chose %+v; permitted %v", best, permitted)
		}
	})
}

// Guards against an upstream that more load, by this host or by others, makes more attractive.
func TestMoreLoadNeverCostsLess(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := Option{
			Slots: rapid.Float64Range(0.1, 8).Draw(t, "slots"), Own: rapid.IntRange(0, 9).Draw(t, "own"),
			Peers: rapid.Float64Range(0, 20).Draw(t, "peers"), Slowness: rapid.Float64Range(0.1, 10).Draw(t, "slowness"),
		}
		fuller := o
		fuller.Own += rapid.IntRange(0, 5).Draw(t, "more own")
		fuller.Peers += rapid.Float64Range(0, 5).Draw(t, "more peers")
		if waitCost(&fuller) < waitCost(&o) {
			t.Fatalf("%+v costs %g, with more load %g", o, waitCost(&o), waitCost(&fuller))
		}
	})
}
