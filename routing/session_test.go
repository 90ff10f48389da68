package routing

import (
	"errors"
	"fmt"
	"math/rand"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/radishshelf/radishshelf/goldentest"
	"github.com/radishshelf/radishshelf/outcome"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fixedPrefixes is a prefix index that returns the same matches for every prompt.
type fixedPrefixes map[string]int

func (h fixedPrefixes) Match([]uint64, time.Time) map[string]int { return h }

// session is the state while a golden session is replayed.
type session struct {
	inflight   *InFlight
	matched    fixedPrefixes
	router     *Router
	candidates []Candidate
	now        time.Time
}

func newSession() *session {
	s := &session{inflight: NewInFlight(), matched: fixedPrefixes{}, now: start}
	cfg := DefaultConfig()
	cfg.DataCentre, cfg.Region = "dc1", "sudur"
	s.router = New(cfg, s.matched, s.inflight, rand.New(rand.NewSource(1)))
	return s
}

// Guards against routing a request to an upstream that must not run it, and against unintended changes in the relative
// cost of prefix, load and place.
func TestRoutingSession(t *testing.T) {
	s := newSession()
	goldentest.Run(t, "testdata/routes.golden", func(t *testing.T, _, script string) string {
		return goldentest.ReplayEvents(script, func(words []string) []string { return s.respond(t, words) })
	})
}

func (s *session) respond(t *testing.T, f []string) []string {
	values := map[string]string{}
	for _, field := range f[1:] {
		key, value, _ := strings.Cut(field, "=")
		values[key] = value
	}
	number := func(key string) int64 {
		n, err := strconv.ParseInt("0"+values[key], 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
	switch f[0] {
	case "at":
		s.now = start.Add(time.Duration(number("ms")) * time.Millisecond)
	case "upstream":
		c := Candidate{
			Name: f[1], DataCentre: values["dc"], Region: values["region"], Serves: "p", Version: number("version"),
			Alive: values["alive"] != "no", Healthy: values["healthy"] != "no", Leaving: values["leaving"] == "yes",
			Reserved: values["reserved"] == "yes", PendingTokens: number("pending"), ReportedAt: s.now,
			Running: int(number("running")), TokensPerSecond: 1000,
		}
		s.candidates = append(s.candidates, c)
	case "holds":
		s.matched[f[1]] = int(number("blocks"))
	case "sent":
		s.inflight.Sent(f[1], values["to"], number("tokens"), s.now)
	case "done":
		s.inflight.Done(f[1])
	case "route":
		return s.route(Request{
			ID: f[1], Serves: "p", MinVersion: number("min"), Prefix: []uint64{1}, Bytes: number("bytes"),
			Exclusive: values["exclusive"] == "yes", Excluded: strings.Split(values["excluded"], ","),
		})
	default:
		t.Fatalf("unknown event %q", f[0])
	}
	return nil
}

func (s *session) route(req Request) []string {
	d, err := s.router.Route(req, s.candidates, s.now)
	if err != nil {
		return []string{d.String(), err.Error()}
	}
	return []string{d.String()}
}

// Guards against an empty candidate list that is not reported as a refusal with the outcome "not run" and a retry
// delay.
func TestRouteWithoutUpstreams(t *testing.T) {
	_, err := newSession().router.Route(Request{ID: "r", Serves: "p"}, nil, start)
	var refusal *outcome.Refusal
	if !errors.As(err, &refusal) || refusal.Outcome != outcome.NotRun || refusal.RetryAfter <= 0 {
		t.Fatalf("got error %v, want a refusal with the outcome not-run and a retry delay", err)
	}
}

// Guards against choosing an upstream that a filter removes, and against refusing a request that some upstream could
// run, for example because of its prefix matches.
func TestChosenCandidatePassesEveryFilter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSession()
		flag := rapid.Bool()
		for i := range rapid.IntRange(0, 8).Draw(t, "candidates") {
			name := fmt.Sprint("e", i)
			s.candidates = append(s.candidates, Candidate{
				Name: name, Serves: rapid.SampledFrom([]string{"p", "q"}).Draw(t, "serves"),
				Region: rapid.SampledFrom([]string{"sudur", "nordur"}).Draw(t, "region"),
				Alive:  flag.Draw(t, "alive"), Healthy: flag.Draw(t, "healthy"), Leaving: flag.Draw(t, "leaving"),
				Reserved: flag.Draw(t, "reserved"), Version: rapid.Int64Range(0, 3).Draw(t, "version"),
				Running: rapid.IntRange(0, 1).Draw(t, "running"), PendingTokens: rapid.Int64Range(0, 9999).Draw(t, "pending"),
			})
			s.matched[name] = rapid.IntRange(0, 4).Draw(t, "blocks")
		}
		req := Request{ID: "r", Serves: "p", MinVersion: 1, Prefix: []uint64{1}, Exclusive: flag.Draw(t, "exclusive"), Excluded: []string{"e0"}}
		passesFilters := func(c Candidate) bool {
			for _, f := range Filters(s.inflight) {
				if !f.Keep(&req, &c) {
					return false
				}
			}
			return true
		}
		anyPasses := false
		for _, c := range s.candidates {
			anyPasses = anyPasses || passesFilters(c)
		}
		d, err := s.router.Route(req, s.candidates, s.now)
		if anyPasses != (err == nil) || (err == nil && !passesFilters(d.Chosen)) {
			t.Fatalf("some candidate passes all filters: %v, error %v, chosen %+v", anyPasses, err, d.Chosen)
		}
	})
}
