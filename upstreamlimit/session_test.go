package upstreamlimit

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/goldentest"
	"github.com/radishshelf/radishshelf/upstreams"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fakeView is what a host knows of others.
type fakeView struct {
	hosts, registered []string
	cold              ColdBound
}

func (v *fakeView) Hosts() []string { return v.hosts }

func (v *fakeView) IsRegistered(i upstreams.Incarnation) bool {
	return slices.Contains(v.registered, i.ID)
}

func (v *fakeView) ColdBound(string) ColdBound { return v.cold }

func (v *fakeView) ReadyCount(string) int { return len(v.registered) }

// Guards against limits that are ignored, kept after they were lifted, taken from late responses or from another
// incarnation, and against shares that do not follow what the hosts report.
func TestSessions(t *testing.T) {
	goldentest.Run(t, "testdata/*.golden", func(t *testing.T, _, script string) string {
		view := &fakeView{registered: []string{"u", "v"}}
		s := &session{t: t, view: view, table: NewTable("a", view), now: start, born: 1}
		s.table.ObserveOwn(nil, start, start)
		return goldentest.ReplayEvents(script, s.respond)
	})
}

// session replays the events of one host, named a.
type session struct {
	t     *testing.T
	view  *fakeView
	table *Table
	now   time.Time
	born  int64
}

func (s *session) respond(f []string) []string {
	switch f[0] {
	case "at":
		s.now = start.Add(s.duration(f[1]))
	case "hosts":
		s.view.hosts = f[1:]
	case "registered":
		s.view.registered = f[1:]
	case "born":
		s.born = int64(s.number(f[1]))
	case "hear": // hear UPSTREAM LIMIT [TIME OF THE REQUEST]
		requestedAt := time.Time{}
		if len(f) > 3 {
			requestedAt = start.Add(s.duration(f[3]))
		}
		return describe(s.table.Hear(s.upstream(f[1]), s.number(f[2]), requestedAt, s.now))
	case "sent":
		for range int(s.number(f[2])) {
			s.table.Sent(s.upstream(f[1]), s.now)
		}
	case "want":
		s.table.Want(s.upstream(f[1]), s.number(f[2]), f[3] == "background", s.now)
	case "cold-bound": // cold-bound REQUESTS A SECOND OVERRUN SLACK
		s.view.cold = ColdBound{PerSecond: s.number(f[1]), Lasts: 3 * time.Second, Overrun: s.number(f[2]), Slack: s.number(f[3])}
	case "starts":
		s.table = NewTable("a", s.view)
	case "cold": // cold UPSTREAM TIME LEFT
		return describe(s.table.ObserveCold(s.upstream(f[1]), s.duration(f[2]), s.now))
	case "unreachable":
		return describe(s.table.ObserveUnreachable(s.upstream(f[1]), s.now))
	case "responds":
		s.table.ObserveResponse(s.upstream(f[1]), s.now)
	case "own":
		s.table.ObserveOwn(s.parseReport(f[1:]), s.now, s.now)
	case "peer": // peer HOST SEQUENCE [UPSTREAM OR SERVICE=CALLERS+BACKGROUND] [UPSTREAM:LIMIT@TIME] [UPSTREAM!FAILED@BACK]
		h := Heartbeat{Host: f[1], Incarnation: "1", Sequence: int64(s.number(f[2]))}
		var lines []string
		for _, c := range s.table.ObservePeer(h, s.parseReport(f[3:]), s.now.Sub(start), s.now) {
			lines = append(lines, describe(c, true)...)
		}
		return lines
	case "allowed":
		if n := s.table.Allowed(s.upstream(f[1]), s.now); n != math.MaxInt {
			return []string{fmt.Sprint(n)}
		}
		return []string{"no limit"}
	case "share":
		share, next, limited := s.table.Share(s.upstream(f[1]), s.now)
		return []string{fmt.Sprintf("%.2f a second, next in %s, limited %v", share, next.Sub(s.now).Round(time.Millisecond), limited)}
	case "report":
		r := s.table.Report(func(upstreams.Incarnation, string) float64 { return 0 }, s.now.Sub(start), s.now)
		return []string{fmt.Sprintf("%+v", r)}
	default:
		s.t.Fatalf("unknown event %q", f[0])
	}
	return nil
}

func (s *session) upstream(id string) upstreams.Entry {
	return upstreams.Entry{ID: id, Born: s.born, Service: "desk"}
}

func (s *session) parseReport(fields []string) *Report {
	r := &Report{Demand: demand{}}
	for _, field := range fields {
		if id, text, ok := strings.Cut(field, "="); ok {
			callers, background, _ := strings.Cut(text, "+")
			d := Demand{Callers: s.number(callers), Background: s.number(background)}
			if id == "desk" {
				r.Services = demand{id: d}
			} else {
				r.Demand[id] = d
			}
			continue
		}
		if id, times, ok := strings.Cut(field, "!"); ok {
			failed, back, _ := strings.Cut(times, "@")
			r.Limits = append(r.Limits, Claim{
				Upstream: id, Born: s.born, Service: "desk",
				FailedAt: s.duration(failed).Milliseconds(), BackAt: s.duration(back).Milliseconds(),
			})
			continue
		}
		id, rest, _ := strings.Cut(field, ":")
		limit, at, _ := strings.Cut(rest, "@")
		r.Limits = append(r.Limits, Claim{
			Upstream: id, Born: s.born, Service: "desk", Limit: s.number(limit), HeardAt: s.duration(at).Milliseconds(),
		})
	}
	return r
}

func (s *session) duration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		s.t.Fatal(err)
	}
	return d
}

func (s *session) number(text string) float64 {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil {
		s.t.Fatal(err)
	}
	return n
}

func describe(c Change, changed bool) []string {
	if !changed {
		return nil
	}
	if c.Cold > 0 {
		return []string{fmt.Sprintf("%s is cold for %s, takes %v, told by %q", c.Upstream.ID, c.Cold, c.To, c.Peer)}
	}
	return []string{fmt.Sprintf("%s from %v to %v told by %q", c.Upstream.ID, c.From, c.To, c.Peer)}
}
