package quarantine

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/radishshelf/radishshelf/goldentest"
)

// Guards against unintended changes of what counts as an end under a request, how cases are merged, and how often a suspect
// request is probed.
func TestLedgerSessions(t *testing.T) {
	goldentest.Run(t, "testdata/ledger/*.golden", func(t *testing.T, _, script string) string {
		s := ledgerSession{t: t, now: start, ledgers: map[string]*Ledger{}}
		return goldentest.ReplayEvents(script, s.run)
	})
}

// ledgerSession replays events of several processes; the first word of an event names the process.
type ledgerSession struct {
	t       *testing.T
	now     time.Time
	ledgers map[string]*Ledger
}

func (s *ledgerSession) ledger(name string) *Ledger {
	if s.ledgers[name] == nil {
		s.ledgers[name] = NewLedger(DefaultLedgerConfig())
	}
	return s.ledgers[name]
}

func (s *ledgerSession) run(words []string) []string {
	l, event, args := s.ledger(words[0]), words[1], words[2:]
	switch event {
	case "at":
		d, err := time.ParseDuration(args[0])
		if err != nil {
			s.t.Fatal(err)
		}
		s.now = start.Add(d)
	case "broke":
		progress, err := strconv.Atoi(args[2])
		if err != nil {
			s.t.Fatal(err)
		}
		return []string{fmt.Sprint("counted ", l.RecordBrokenRun(args[0], UpstreamIncarnation{args[1], "1"}, progress, s.now))}
	case "ended":
		counted, isNew := l.RecordEnd(UpstreamIncarnation{args[0], "1"}, s.now)
		return []string{fmt.Sprint("counted ", counted, " new ", isNew)}
	case "answered":
		return []string{fmt.Sprint("cleared ", l.RecordResponse(args[0]))}
	case "drop":
		return []string{fmt.Sprint("dropped ", l.Drop(args[0]))}
	case "probe":
		c, _ := l.Case(args[0])
		l.Merge(args[0], c.WithProbe(), s.now)
	case "send":
		c, _ := l.Case(args[0])
		return []string{fmt.Sprint("knows more ", s.ledger(args[1]).Merge(args[0], c, s.now))}
	case "expire":
		return []string{fmt.Sprint("forgotten ", l.Expire(s.now))}
	case "check":
		v := l.Check(args[0], s.now)
		return []string{fmt.Sprintf("%s ends=%d remaining=%s", v.Action, v.Deaths, v.Remaining)}
	default:
		s.t.Fatalf("unknown event %q", event)
	}
	return nil
}

// Guards against too many runs of a request that always crashes its upstream: the platform allows three that start more than
// four seconds after the third end, from any number of processes that exchange their cases with a delay.
func TestLedgerLimitsRunsAfterThirdEnd(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const exchangeInterval = 3 * time.Second // below the four seconds after which runs count as late
		processes := make([]*Ledger, rapid.IntRange(1, 5).Draw(rt, "processes"))
		for i := range processes {
			processes[i] = NewLedger(DefaultLedgerConfig())
		}
		now, runs, lateRuns := start, 0, 0
		var thirdEnd, lastExchange time.Time
		stored := Case{}
		for range 400 {
			now = now.Add(time.Duration(rapid.IntRange(1, 60_000).Draw(rt, "pause")) * time.Millisecond)
			if now.Sub(lastExchange) > exchangeInterval {
				lastExchange = now
				for _, l := range append(processes, processes...) {
					l.Merge("bad", stored, now)
					if c, ok := l.Case("bad"); ok {
						stored = c
					}
				}
			}
			l := processes[rapid.IntRange(0, len(processes)-1).Draw(rt, "process")]
			switch l.Check("bad", now).Action {
			case Refuse:
				continue
			case Probe:
				c, _ := l.Case("bad")
				if c.level() != stored.level() {
					continue // another process has announced its probe first
				}
				stored = c.WithProbe()
				l.Merge("bad", stored, now)
			}
			runs++
			if runs == 3 {
				thirdEnd = now
			}
			if runs > 3 && now.Sub(thirdEnd) > 4*time.Second {
				lateRuns++
			}
			end := UpstreamIncarnation{"u", strconv.Itoa(runs)}
			l.RecordBrokenRun("bad", end, 0, now)
			l.RecordEnd(end, now)
		}
		if lateRuns > 3 {
			rt.Fatalf("%d runs started more than 4 s after the third end", lateRuns)
		}
	})
}

// Guards against unbounded memory: the ledger must not grow with the requests, ends and broken runs that it has seen.
func TestLedgerIsBounded(t *testing.T) {
	cfg := DefaultLedgerConfig()
	cfg.MaxCases, cfg.MaxBrokenRuns = 16, 16
	l := NewLedger(cfg)
	now := start
	for i := range 1000 {
		now = now.Add(time.Millisecond)
		end := UpstreamIncarnation{"u", strconv.Itoa(i)}
		l.RecordBrokenRun(fmt.Sprint("f", i), end, 0, now)
		if i%2 == 0 {
			l.RecordEnd(end, now)
		}
		l.Merge(fmt.Sprint("g", i), Case{Ends: []UpstreamIncarnation{end}}, now)
	}
	if l.Len() > cfg.MaxCases || l.brokenRunCount > cfg.MaxBrokenRuns {
		t.Errorf("%d cases and %d runs", l.Len(), l.brokenRunCount)
	}
	l.Expire(now.Add(time.Hour))
	if !l.Idle() || len(l.endedAt) != 0 || len(l.brokenRuns) != 0 {
		t.Errorf("after an hour: %d cases, %d runs, %d ends", l.Len(), l.brokenRunCount, len(l.endedAt))
	}
}

// Guards against unbounded memory when many requests report a broken run after the end of their upstream is already known.
func TestLedgerIsBoundedAfterKnownEnd(t *testing.T) {
	cfg := DefaultLedgerConfig()
	cfg.MaxCases = 16
	l := NewLedger(cfg)
	end := UpstreamIncarnation{"u", "1"}
	l.RecordEnd(end, start)
	for i := range 1000 {
		l.RecordBrokenRun(fmt.Sprint("f", i), end, 0, start.Add(time.Millisecond))
	}
	if l.Len() > cfg.MaxCases {
		t.Errorf("%d cases, want at most %d", l.Len(), cfg.MaxCases)
	}
}

// Guards against fingerprints that differ between hosts with the same key, or that can be computed without the key.
func TestKeyedFingerprints(t *testing.T) {
	key := NewKey()
	a := key.Fingerprint("north", "POST /x", []byte("body"))
	if b := Key(append([]byte{}, key...)).Fingerprint("north", "POST /x", []byte("body")); a != b {
		t.Error("two copies of a key give different fingerprints")
	}
	for _, other := range []string{
		NewKey().Fingerprint("north", "POST /x", []byte("body")), Fingerprint("north", "POST /x", []byte("body")),
		key.Fingerprint("south", "POST /x", []byte("body")), key.Fingerprint("north", "POST /y", []byte("body")),
		key.Fingerprint("north", "POST /x", []byte("bodies")),
	} {
		if other == a {
			t.Errorf("another key, workspace, path or body gives the same fingerprint %s", a)
		}
	}
}

// Measures the cost of a fingerprint, which is computed while some request is suspect and after a broken run.
func BenchmarkKeyedFingerprint(b *testing.B) {
	key := NewKey()
	for _, size := range []int{600, 1 << 20, 8 << 20} {
		body := make([]byte, size)
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			b.SetBytes(int64(size))
			for b.Loop() {
				key.Fingerprint("north", "POST /x", body)
			}
		})
	}
}
