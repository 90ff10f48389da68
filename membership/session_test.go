package membership

import (
	"bufio"
	"bytes"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// Guards against a view that follows a stale report, a delayed report of an old incarnation or the lagging host list.
// Each line of the input is an event; the golden file repeats it, followed by the resulting statuses.
func TestSession(t *testing.T) {
	input, err := os.ReadFile("testdata/session.txt")
	if err != nil {
		t.Fatal(err)
	}
	m := New(Options{})
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var out bytes.Buffer
	lines := bufio.NewScanner(bytes.NewReader(input))
	for lines.Scan() {
		words := strings.Fields(lines.Text())
		if len(words) == 0 || words[0] == "#" {
			fmt.Fprintln(&out, lines.Text())
			continue
		}
		at, err := time.ParseDuration(words[0])
		if err != nil {
			t.Fatal(err)
		}
		applyEvent(t, m, words[1], words[2:], start.Add(at))
		fmt.Fprintf(&out, "%s\n    %s\n", lines.Text(), formatStatuses(m, start.Add(at)))
	}
	const golden = "testdata/session.golden"
	if *update {
		if err := os.WriteFile(golden, out.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), out.String()); diff != "" {
		t.Fatalf("the output differs from %s (-want +got):\n%s", golden, diff)
	}
}

func applyEvent(t *testing.T, m *Membership, event string, args []string, now time.Time) {
	switch event {
	case "heartbeat":
		m.ApplyHeartbeat(parseUpstream(args), now)
	case "relayed":
		age, _ := time.ParseDuration(args[3])
		m.ApplyRelayed(parseUpstream(args), age, now)
	case "refused":
		m.RecordRefused(args[0], now)
	case "entry":
		m.ApplyEntryReport(Entry{Name: args[0], Incarnation: args[1], Leaving: len(args) > 2}, 0, now)
	case "hosts":
		var hosts []Host
		for _, name := range args {
			hosts = append(hosts, Host{Name: name, Role: RoleUpstream})
		}
		m.SetHosts(hosts)
	case "prune":
		m.Prune(now)
	default:
		t.Fatalf("unknown event %q", event)
	}
}

func parseUpstream(args []string) Upstream {
	seq, _ := strconv.ParseInt(args[2], 10, 64)
	return Upstream{Name: args[0], Incarnation: args[1], ReportSeq: seq, Leaving: args[len(args)-1] == "leaving"}
}

func formatStatuses(m *Membership, now time.Time) string {
	var parts []string
	for _, u := range m.Upstreams(now) {
		parts = append(parts, fmt.Sprintf("%s=%s/%s#%d", u.Name, u.Status, u.Incarnation, u.ReportSeq))
	}
	for _, e := range m.Entries(now) {
		parts = append(parts, fmt.Sprintf("%s=%s/%s", e.Name, e.Status, e.Incarnation))
	}
	return strings.Join(parts, " ")
}

// Guards against a superseded incarnation that replaces a newer one that still reports, and against sequence numbers
// that decrease, in any interleaving of direct and relayed reports.
func TestIncarnationAndSequenceNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New(Options{})
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		newest := 0
		highest := map[int]int64{}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
			incarnation := rapid.IntRange(max(0, newest-2), newest+1).Draw(t, "incarnation")
			seq := rapid.Int64Range(1, 20).Draw(t, "seq")
			report := Upstream{Name: "u", Incarnation: strconv.Itoa(incarnation), ReportSeq: seq}
			// The newest process sends a direct report in every step, so that it is never dead.
			if incarnation >= newest {
				newest = incarnation
				m.ApplyHeartbeat(report, now)
			} else {
				m.ApplyRelayed(report, time.Duration(rapid.IntRange(1, 2000).Draw(t, "age"))*time.Millisecond, now)
			}
			m.ApplyHeartbeat(Upstream{Name: "u", Incarnation: strconv.Itoa(newest), ReportSeq: highest[newest] + 1}, now)
			got := m.Upstreams(now)[0]
			if got.Incarnation != strconv.Itoa(newest) {
				t.Fatalf("incarnation %s replaced %d", got.Incarnation, newest)
			}
			if got.ReportSeq < highest[newest] {
				t.Fatalf("sequence number decreased from %d to %d", highest[newest], got.ReportSeq)
			}
			highest[newest] = got.ReportSeq
		}
	})
}
