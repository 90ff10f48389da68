package configcheck

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/radishshelf/radishshelf/goldentest"
	"github.com/radishshelf/radishshelf/homes"
	"github.com/radishshelf/radishshelf/serving"
)

// session is a configuration that a golden file writes, and the one in force.
type session struct {
	t       *testing.T
	next    serving.Builder
	inForce *serving.Builder
	options Options
}

// respond applies an event: route, service, workspace, limits and version with fields as name=value, regions, reserved,
// adopt (what was written is in force from then on), check or compare.
func (s *session) respond(words []string) []string {
	fields := map[string]string{}
	for _, word := range words[1:] {
		if name, value, ok := strings.Cut(word, "="); ok {
			fields[name] = value
		}
	}
	switch words[0] {
	case "route":
		s.next.Routes = append(s.next.Routes, s.route(fields))
	case "service":
		service := &serving.Service{Name: fields["name"], Models: list(fields["models"])}
		if fields["max"] != "" {
			service.Scaling = &serving.Scaling{Min: s.number(fields["min"]), Max: s.number(fields["max"])}
		}
		s.next.Services = append(s.next.Services, service)
	case "workspace":
		w := serving.Workspace{Name: fields["name"], Homes: homes.Only(list(fields["homes"])...)}
		if fields["priority"] != "" {
			w.Priority, w.HasPriority = s.number(fields["priority"]), true
		}
		s.next.Workspaces = append(s.next.Workspaces, serving.WorkspaceKeys{Workspace: w, Keys: list(fields["keys"])})
	case "limits":
		s.next.Limits.HeaderBytes = s.number(fields["header"])
	case "version":
		s.next.Version = int64(s.number(words[1]))
	case "regions":
		s.options.Regions = words[1:]
	case "reserved":
		s.options.ReservedPrefixes, s.options.HeaderBytes = words[1:], 100
	case "adopt":
		inForce := s.next
		s.inForce, s.options.InForce, s.next = &inForce, &inForce, serving.Builder{}
	case "check":
		var lines []string
		for _, f := range Check(s.next, s.options) {
			lines = append(lines, fmt.Sprintf("%s: %s, %s %d: %s; %s", f.Severity, f.Place, f.Place.Field, f.Place.Item, f.Problem, f.Remedy))
		}
		return lines
	case "compare":
		var lines []string
		for _, d := range Compare(*s.inForce, s.next) {
			lines = append(lines, fmt.Sprintf("%s: %s, %s: %q to %q", d.Change, d.Place, d.Place.Field, d.From, d.To))
		}
		return lines
	default:
		s.t.Fatalf("unknown event %q", words)
	}
	return nil
}

func (s *session) route(fields map[string]string) *serving.Route {
	r := &serving.Route{
		Name: fields["name"], Host: fields["host"], PathPrefix: fields["prefix"], Kind: serving.Kind(fields["kind"]),
		Public: fields["public"] != "", Streaming: fields["streaming"] != "", Resumable: fields["resumable"] != "",
		SingleVersion: fields["single"] != "", MaxAttempts: s.number(fields["attempts"]), Timeout: s.duration(fields["timeout"]),
		TargetLatency: s.duration(fields["latency"]), Due: s.duration(fields["due"]), ItemLifetime: s.duration(fields["lifetime"]),
		Homes: homes.Only(list(fields["homes"])...),
	}
	for _, target := range list(fields["to"]) {
		service, weight, ok := strings.Cut(target, ":")
		t := serving.Target{Service: service, Weight: 1}
		if ok {
			t.Weight = float64(s.number(weight))
		}
		r.Targets = append(r.Targets, t)
	}
	return r
}

// list splits a text at its commas. "-" is an empty entry.
func list(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(strings.ReplaceAll(text, "-", ""), ",")
}

func (s *session) number(text string) int {
	if text == "" {
		return 0
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		s.t.Fatal(err)
	}
	return n
}

func (s *session) duration(text string) time.Duration {
	if text == "" {
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		s.t.Fatal(err)
	}
	return d
}

// Guards against findings and differences that change unnoticed.
func TestSessions(t *testing.T) {
	goldentest.Run(t, "testdata/*.golden", func(t *testing.T, _, script string) string {
		s := &session{t: t}
		return goldentest.ReplayEvents(script, s.respond)
	})
}

// drawConfig draws a small configuration with names from so few that they collide.
func drawConfig(t *rapid.T, label string) serving.Builder {
	name := rapid.SampledFrom([]string{"", "a", "b", "c"})
	prefix := rapid.SampledFrom([]string{"/", "/a/", "/a/b/", "/b"})
	duration := rapid.Custom(func(t *rapid.T) time.Duration { return time.Duration(rapid.IntRange(0, 4).Draw(t, "s")) * time.Second })
	regions := rapid.Custom(func(t *rapid.T) homes.Regions {
		return homes.Only(rapid.SliceOfN(rapid.SampledFrom([]string{"x", "y"}), 0, 2).Draw(t, "regions")...)
	})
	var b serving.Builder
	b.Version = rapid.Int64Range(1, 3).Draw(t, label)
	for range rapid.IntRange(0, 4).Draw(t, "routes") {
		b.Routes = append(b.Routes, &serving.Route{
			Name: name.Draw(t, "name"), Host: name.Draw(t, "host"), PathPrefix: prefix.Draw(t, "prefix"), Homes: regions.Draw(t, "homes"),
			Kind:    rapid.SampledFrom([]serving.Kind{serving.Idempotent, serving.NonIdempotent, serving.Rollout}).Draw(t, "kind"),
			Timeout: duration.Draw(t, "timeout"), TargetLatency: duration.Draw(t, "latency"), MaxAttempts: rapid.IntRange(0, 3).Draw(t, "attempts"),
			Targets: []serving.Target{{Service: name.Draw(t, "service"), Weight: float64(rapid.IntRange(0, 1).Draw(t, "weight"))}},
		})
	}
	for range rapid.IntRange(0, 3).Draw(t, "services") {
		b.Services = append(b.Services, &serving.Service{Name: name.Draw(t, "name"), Models: []string{"m"}})
	}
	for range rapid.IntRange(0, 3).Draw(t, "workspaces") {
		b.Workspaces = append(b.Workspaces, serving.WorkspaceKeys{
			Workspace: serving.Workspace{Name: name.Draw(t, "name"), Homes: regions.Draw(t, "homes")},
			Keys:      rapid.SliceOfN(rapid.SampledFrom([]string{"key-1", "key-2", ""}), 0, 2).Draw(t, "keys"),
		})
	}
	return b
}

// Guards against a route that is said to be reachable and is not, or the reverse: by what the built configuration does
// with a request to its prefix.
func TestUnreachableRoutesAreFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := drawConfig(t, "version")
		hidden := map[int]bool{}
		for _, f := range Check(b, Options{}) {
			if f.Place.Part == PartRoute && strings.HasPrefix(f.Problem, "can never match: route") {
				hidden[f.Place.Number] = true
			}
		}
		for i, r := range b.Routes {
			r.Priority = i + 1 // tells routes with equal fields apart
		}
		served := b.Build()
		for i, r := range b.Routes {
			got, ok := served.Route(r.Host, r.PathPrefix)
			if reached := ok && got.Priority == i+1; reached == hidden[i+1] {
				t.Fatalf("route %d %+v: reached %v, said to be hidden %v", i+1, r, reached, hidden[i+1])
			}
		}
	})
}

// Guards against a key in any text, against findings without a remedy, and against differences of a configuration from
// itself.
func TestFindingsNameNoKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		inForce, next := drawConfig(t, "in force"), drawConfig(t, "next")
		for _, f := range Check(next, Options{Regions: []string{"x"}, InForce: &inForce}) {
			if f.Remedy == "" || strings.Contains(fmt.Sprint(f), "key-") {
				t.Fatalf("finding %+v", f)
			}
		}
		for _, d := range Compare(inForce, next) {
			if strings.Contains(fmt.Sprint(d), "key-") {
				t.Fatalf("difference %+v", d)
			}
		}
		names := map[string]bool{}
		for _, r := range next.Routes {
			if names["route"+r.Name] {
				return // entries of the same name cannot be told apart
			}
			names["route"+r.Name] = true
		}
		for _, s := range next.Services {
			names["service"+s.Name] = true
		}
		for _, w := range next.Workspaces {
			if names["workspace"+w.Workspace.Name] {
				return
			}
			names["workspace"+w.Workspace.Name] = true
		}
		if list := Compare(next, next); len(list) > 0 {
			t.Fatalf("differs from itself: %+v", list)
		}
	})
}
