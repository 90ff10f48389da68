package logstory

import (
	"strings"
	"testing"
	"time"
)

const stepLogA = `time=2026-01-01T00:00:00.1Z event="job accepted" host=edge-1 job=j1 model=m step=4 owner=edge-2
time=2026-01-01T00:00:07Z event="job ended by its caller" host=edge-1 job=j1
time=2026-01-01T00:00:05Z event="job taken over" host=edge-3 job=j1 from=""
time=2026-01-01T00:00:06Z event="text complete" host=edge-3 job=j1 item=i2 events=90 from_event=40 upstream=u2 optional=false
time=2026-01-01T00:00:06.5Z event="text complete" host=edge-3 job=j1 item=i3 events=20 from_event=0 upstream=u2 optional=true`

const stepLogB = `time=2026-01-01T00:00:00.2Z event="job taken over" host=edge-2 job=j1 from=edge-2
time=2026-01-01T00:00:03Z event="run ended early" host=edge-2 job=j1 item=i2 reason=moved
time=2026-01-01T00:00:04.5Z event="job handed over" host=edge-2 job=j1
time=2026-01-01T00:00:08Z event="text complete" host=edge-2 job=j1 item=i4 events=9 from_event=0 optional=false`

// Guards against a restart of the owner that hides the time for which the job had an owner before.
func TestOwnerThatRestarts(t *testing.T) {
	const log = `time=2026-01-01T00:00:01Z event="job accepted" host=edge-1 job=j1 model=m step=4 owner=edge-1
time=2026-01-01T00:00:02Z event="job handed over" host=edge-1 job=j1
time=2026-01-01T00:00:02.5Z event="job taken over" host=edge-2 job=j1 from=""
time=2026-01-01T00:00:06Z event="job taken over" host=edge-2 job=j1 from=edge-2`
	var s Steps
	if err := s.Read("log", strings.NewReader(log)); err != nil {
		t.Fatal(err)
	}
	if step := s.List()[0]; step.WithoutOwner() != 500*time.Millisecond || len(step.Ownerships) != 3 {
		t.Errorf("without owner %s, owners %v", step.WithoutOwner(), step.Ownerships)
	}
}

// Guards against a time line that leaves out a change of owner, or takes a text that nobody waited for as the last one.
func TestStepAcrossFiles(t *testing.T) {
	var s Steps
	for name, text := range map[string]string{"a": stepLogA, "b": stepLogB} {
		if err := s.Read(name, strings.NewReader(text)); err != nil {
			t.Fatal(err)
		}
	}
	list := s.List()
	if len(list) != 1 {
		t.Fatalf("%d steps, want 1", len(list))
	}
	step := list[0]
	if step.LastText.Item != "i2" || step.Duration() != 6900*time.Millisecond || step.WithoutOwner() != 500*time.Millisecond {
		t.Errorf("last text %s, took %s, without owner %s", step.LastText.Item, step.Duration(), step.WithoutOwner())
	}
	for _, want := range []string{"step 4", "took   6.90 s", "owner edge-2 00:00:00.200", "owner edge-3 00:00:05.000", "moved 1"} {
		if !strings.Contains(step.String(), want) {
			t.Errorf("line %q lacks %q", step, want)
		}
	}
}
