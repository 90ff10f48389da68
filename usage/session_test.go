package usage

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/dataplane"
	"github.com/radishshelf/radishshelf/goldentest"
)

// session runs a script line by line against recorders, a retainer and sealers and writes down their output.
type session struct {
	recorders map[string]*Recorder
	retainer  *Retainer
	batches   map[string]Batch
	counted   DedupState
	out       bytes.Buffer
}

// Guards against unintended changes to how records are flushed, recovered, counted and reported as missing.
func TestGoldenSession(t *testing.T) {
	goldentest.Run(t, "testdata/*.golden", func(t *testing.T, _, script string) string {
		s := session{recorders: map[string]*Recorder{}, retainer: NewRetainer("entry-1", 4), batches: map[string]Batch{}}
		for line := range strings.Lines(script) {
			if event := strings.TrimSpace(line); event != "" && !strings.HasPrefix(event, "->") {
				fmt.Fprintln(&s.out, event)
				s.run(t, strings.Fields(event))
			}
		}
		return s.out.String()
	})
}

func (s *session) action(format string, args ...any) { fmt.Fprintf(&s.out, "-> "+format+"\n", args...) }

func (s *session) recorder(incarnation string) *Recorder {
	if s.recorders[incarnation] == nil {
		s.recorders[incarnation] = NewRecorder("agent", incarnation)
	}
	return s.recorders[incarnation]
}

func (s *session) run(t *testing.T, words []string) {
	switch words[0] {
	case "#":
	case "request": // request INCARNATION WORKSPACE TOKENS [unseen]
		s.request(words)
	case "batch": // batch INCARNATION NAME LIMIT
		var limit int
		fmt.Sscan(words[3], &limit)
		b, ok := s.recorder(words[1]).NextBatch(limit)
		s.recordBatch(words[2], b, ok)
	case "flushed": // flushed INCARNATION SEQ
		var seq int64
		fmt.Sscan(words[2], &seq)
		s.recorder(words[1]).MarkFlushed(seq)
	case "heartbeat": // heartbeat INCARNATION
		s.retainer.Flushed("agent", words[1], s.recorder(words[1]).FlushedSeq())
		s.action("%d records retained", s.retainer.Len())
	case "dead": // dead INCARNATION
		s.retainer.Dead("agent", words[1])
	case "recovery": // recovery NAME
		b, ok := s.retainer.NextRecoveryBatch()
		s.recordBatch(words[1], b, ok)
		s.retainer.MarkRecovered(b)
	case "seal": // seal WINDOW NAME...
		s.seal(t, words[1], words[2:])
	default:
		t.Fatalf("unknown event %q", words)
	}
}

func (s *session) request(words []string) {
	var tokens int64
	fmt.Sscan(words[3], &tokens)
	seq := s.recorder(words[1]).Add(Record{Workspace: words[2], PromptTokens: tokens})
	if len(words) > 4 {
		return
	}
	s.retainer.Retain("r", words[2], "", dataplane.Result{
		Upstream: "agent", Incarnation: words[1], UsageSeq: seq, PromptTokens: tokens,
	}, time.Time{})
	if n := s.retainer.Dropped(); n > 0 {
		s.action("%d records not retained", n)
	}
}

func (s *session) recordBatch(name string, b Batch, ok bool) {
	if !ok {
		s.action("no batch")
		return
	}
	var seqs []int64
	for _, rec := range b.Records {
		seqs = append(seqs, rec.Seq)
	}
	s.batches[name] = b
	s.action("batch %s, records %v", b.ID(), seqs)
}

func (s *session) seal(t *testing.T, window string, names []string) {
	start, err := ParseWindowKey(window)
	if err != nil {
		t.Fatal(err)
	}
	sealer := NewSealer(start, s.counted)
	for _, name := range names {
		name, late := strings.CutSuffix(name, ":late")
		b := s.batches[name]
		b.Late = late
		sealer.Add(b)
	}
	sealed, counted, err := sealer.Seal()
	if err != nil {
		t.Fatal(err)
	}
	s.counted = counted
	for _, report := range sealed.Reports {
		s.action("report %s", report.Body)
	}
	for _, gap := range sealed.Gaps {
		s.action("gap %s %s %d-%d", gap.Agent, gap.Incarnation, gap.First, gap.Last)
	}
	s.action("sealed, %d repeated, %d missing", sealed.Repeated, sealed.Missing)
}

// Guards against a batch row that spans two windows, which would report some records in the wrong window.
func TestBatchEndsWithItsWindow(t *testing.T) {
	window := Window{Length: time.Minute}
	r := NewRecorder("agent", "i1")
	r.SetWindow(window)
	start := time.Date(2026, 3, 1, 10, 0, 0, 0, time.UTC)
	for _, second := range []int{10, 59, 60, 61} {
		r.Add(Record{Workspace: "w", FinishedAt: start.Add(time.Duration(second) * time.Second)})
	}
	b, _ := r.NextBatch(10)
	if (Window{}).End(start) != start.Add(DefaultWindowLength) {
		t.Error("a window without a length does not have the default length")
	}
	if len(b.Records) != 2 || !b.WindowStart(window, start.Add(time.Hour)).Equal(start) {
		t.Fatalf("first batch %+v in window %v", b, b.WindowStart(window, start))
	}
	r.MarkFlushed(b.LastSeq())
	b, _ = r.NextBatch(10)
	if len(b.Records) != 2 || !b.WindowStart(window, start).Equal(start.Add(time.Minute)) || r.Pending() != 2 {
		t.Fatalf("second batch %+v", b)
	}
}
