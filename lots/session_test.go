package lots

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/goldentest"
)

// session runs a golden script line by line against the lot sequence and records the results.
type session struct {
	spec    Spec
	head    Head
	ready   []ReadyGroup
	lastLot Lot
	out     bytes.Buffer
}

// Guards against unintended changes to how lots are formed, repeated, voided and acknowledged.
func TestGoldenSequence(t *testing.T) {
	goldentest.Run(t, "testdata/*.golden", func(t *testing.T, _, script string) string {
		s := session{spec: Spec{MaxStaleness: 2, LotSamples: 4}}
		for line := range strings.Lines(script) {
			if event := strings.TrimSpace(line); event != "" && !strings.HasPrefix(event, "->") {
				s.run(t, event)
			}
		}
		return s.out.String()
	})
}

func (s *session) run(t *testing.T, event string) {
	fmt.Fprintln(&s.out, event)
	if strings.HasPrefix(event, "#") {
		return
	}
	var r ReadyGroup
	var after, step int64
	if n, _ := fmt.Sscanf(event, "group %s samples %d oldest %d", &r.Group, &r.Samples, &r.OldestVersion); n == 3 {
		r.Key = fmt.Sprintf("%04d-%s", len(s.ready), r.Group)
		s.ready = append(s.ready, r)
		return
	}
	if n, _ := fmt.Sscanf(event, "order %s", &s.spec.Order); n == 1 {
		return
	}
	if n, _ := fmt.Sscanf(event, "pull after %d step %d", &after, &step); n == 2 {
		s.pull(after, step)
		return
	}
	t.Fatalf("unknown event %q", event)
}

func (s *session) emit(format string, args ...any) { fmt.Fprintf(&s.out, "-> "+format+"\n", args...) }

func (s *session) pull(after, step int64) {
	if err := s.head.CheckPull(after); err != nil {
		s.emit("error: %v", err)
		return
	}
	if after < s.head.Last {
		s.repeat(step)
		return
	}
	if s.head.Acknowledged < after {
		s.head = s.head.Acknowledge(s.lastLot)
		s.emit("acknowledged %d, delivered %d samples", s.head.Acknowledged, s.head.Delivered)
	}
	s.form(step)
}

func (s *session) repeat(step int64) {
	switch {
	case s.lastLot.Void:
	case s.lastLot.Stale(s.spec, step):
		s.head, s.lastLot = s.head.VoidLot(s.lastLot)
		s.emit("lot %d becomes void, discards %v", s.lastLot.Number, s.head.Discards)
	default:
		s.writeLot("again")
		return
	}
	s.emit("error: %v", &VoidError{Number: s.lastLot.Number, Next: s.lastLot.Number + 1})
}

func (s *session) form(step int64) {
	selection := SelectGroups(s.spec, step, s.ready)
	if len(selection.Discarded) > 0 {
		s.head = s.head.RecordDiscards(selection.Discarded)
	}
	for _, g := range selection.Discarded {
		s.emit("discard group %s (%d samples): %s", g.Group, g.Samples, g.Reason)
	}
	if len(selection.Selected) == 0 {
		s.removeReady(selection)
		s.emit("error: %v", ErrNotReady)
		return
	}
	s.head, s.lastLot = s.head.NewLot("coach", step, selection.Selected, time.Time{})
	s.removeReady(selection)
	s.writeLot("formed")
}

// removeReady removes the selected and discarded groups from the ready list.
func (s *session) removeReady(selection Selection) {
	removed := map[string]bool{}
	for _, r := range selection.Selected {
		removed[r.Key] = true
	}
	for _, g := range selection.Discarded {
		removed[g.Key] = true
	}
	var remaining []ReadyGroup
	for _, r := range s.ready {
		if !removed[r.Key] {
			remaining = append(remaining, r)
		}
	}
	s.ready = remaining
}

func (s *session) writeLot(how string) {
	var names []string
	for _, g := range s.lastLot.Groups {
		names = append(names, g.Group)
	}
	s.emit("lot %d %s at step %d: groups %s, %d samples, oldest version %d",
		s.lastLot.Number, how, s.lastLot.Step, strings.Join(names, " "), s.lastLot.Samples, s.lastLot.OldestVersion)
}
