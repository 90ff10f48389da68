package quarantine

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/radishshelf/radishshelf/goldentest"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against unintended changes of three rules: one death makes a request run alone and two refuse it, an incarnation
// counts once, and the lists of peers are merged.
func TestListSession(t *testing.T) {
	l := New(Config{Retention: time.Minute, RefuseAfterDeaths: 2, MaxSuspects: 3})
	now := start
	respond := func(f []string) []string {
		switch f[0] {
		case "at":
			d, err := time.ParseDuration(f[1])
			if err != nil {
				t.Fatal(err)
			}
			now = start.Add(d)
			return nil
		case "death":
			return []string{fmt.Sprint("counted ", l.RecordDeath(f[1], f[2], f[3:], now))}
		case "report":
			l.RecordReport(f[1], f[2], parseSuspects(t, f[3:]), now)
			return nil
		case "merge":
			l.Merge(parseSuspects(t, f[1:]), now)
			return nil
		case "check":
			v := l.Check(f[1], now)
			return []string{fmt.Sprintf("%s deaths=%d remaining=%v", v.Action, v.Deaths, v.Remaining)}
		case "suspects":
			var lines []string
			for _, s := range l.Suspects(10, now) {
				lines = append(lines, fmt.Sprintf("%s deaths=%d remaining=%v", s.Fingerprint, s.Deaths, s.Remaining))
			}
			return lines
		}
		t.Fatalf("unknown event %q", f[0])
		return nil
	}
	goldentest.Run(t, "testdata/suspects.golden", func(_ *testing.T, _, script string) string {
		return goldentest.ReplayEvents(script, respond)
	})
}

// parseSuspects parses fields of the form fingerprint:deaths:remaining.
func parseSuspects(t *testing.T, fields []string) []Suspect {
	var list []Suspect
	for _, field := range fields {
		parts := strings.Split(field, ":")
		deaths, err := strconv.Atoi(parts[1])
		if err != nil {
			t.Fatal(err)
		}
		remaining, err := time.ParseDuration(parts[2])
		if err != nil {
			t.Fatal(err)
		}
		list = append(list, Suspect{Fingerprint: parts[0], Deaths: deaths, Remaining: remaining})
	}
	return list
}

// Guards against a workspace that gets the requests of another one refused by crafting a route or body with the same
// fingerprint.
func TestFingerprintsAreNotShared(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringN(0, 8, -1)
		a := []string{text.Draw(t, "wa"), text.Draw(t, "ra"), text.Draw(t, "ba")}
		b := []string{text.Draw(t, "wb"), text.Draw(t, "rb"), text.Draw(t, "bb")}
		equal := a[0] == b[0] && a[1] == b[1] && a[2] == b[2]
		if (Fingerprint(a[0], a[1], []byte(a[2])) == Fingerprint(b[0], b[1], []byte(b[2]))) != equal {
			t.Fatalf("%q and %q differ but have equal fingerprints, or the reverse", a, b)
		}
	})
	if Fingerprint("ab", "c", nil) == Fingerprint("a", "bc", nil) {
		t.Error("moving a byte between workspace and route does not change the fingerprint")
	}
}

// Guards against peers that prolong each other's records indefinitely, and against unbounded memory: after the last death
// every record must expire although the peers keep exchanging their lists with a delay.
func TestExchangedSuspectsExpire(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{Retention: 10 * time.Second, RefuseAfterDeaths: 2, MaxSuspects: 4}
		peers := []*List{New(cfg), New(cfg), New(cfg)}
		now := start
		for n := range rapid.IntRange(1, 10).Draw(t, "deaths") {
			fp := fmt.Sprint("f", rapid.IntRange(0, 8).Draw(t, "fp"))
			peers[n%3].RecordDeath("u", fmt.Sprint(n), []string{fp}, now)
		}
		delay := time.Duration(rapid.IntRange(1, 900).Draw(t, "delay")) * time.Millisecond
		for range 200 {
			i, j := rapid.IntRange(0, 2).Draw(t, "from"), rapid.IntRange(0, 2).Draw(t, "to")
			list := peers[i].Suspects(100, now)
			now = now.Add(delay)
			peers[j].Merge(list, now)
			if peers[j].Len() > cfg.MaxSuspects {
				t.Fatalf("%d suspects in memory", peers[j].Len())
			}
		}
		// Each of the three peers learns a number of deaths at most once, one after another, so everything expires within three
		// retention periods.
		if now.Sub(start) < 3*cfg.Retention {
			return
		}
		for i, p := range peers {
			if left := p.Suspects(100, now); len(left) > 0 {
				t.Fatalf("peer %d still refuses %v after %v", i, left, now.Sub(start))
			}
		}
	})
}
