package rolloutmanager

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/rollout"
	"github.com/radishshelf/radishshelf/standin/memory"
)

// policyWriter records the written rollouts and fails for the policy "refused".
type policyWriter struct {
	written map[string]fleetconfig.Rollout
}

func (w *policyWriter) Write(_ context.Context, _ fleetconfig.Kind, name string, value any, _ int64) (int64, error) {
	if name == "refused" {
		return 0, errors.New("the write was refused")
	}
	w.written[name] = value.(fleetconfig.Rollout)
	return 1, nil
}

// Guards against a policy that cannot be read or written and that keeps the policies after it from being advanced, and
// against errors that the round does not return.
func TestFailingPolicyBlocksNoOther(t *testing.T) {
	p := memory.New(memory.Options{})
	unreadable := hosting.Put{Key: PublishedKey("unreadable"), Value: []byte(`{"version":`)}
	if _, err := p.Table.Commit(t.Context(), hosting.Txn{Puts: []hosting.Put{unreadable}}); err != nil {
		t.Fatal(err)
	}
	for _, policy := range []string{"refused", "lifts"} {
		if err := Publish(t.Context(), p.Table, policy, "coach", 7); err != nil {
			t.Fatal(err)
		}
	}
	writer := &policyWriter{written: map[string]fleetconfig.Rollout{}}
	manager, err := New(Options{
		Table: p.Table, Config: writer, Authority: &fakeAuthority{term: 3}, Planning: rollout.DefaultConfig(),
		Rollouts: func() []PolicyRollout {
			return []PolicyRollout{{Policy: "unreadable"}, {Policy: "refused"}, {Policy: "lifts"}}
		},
		Engines: func(string, time.Time) []rollout.Engine {
			return []rollout.Engine{{Upstream: "engine-1", Healthy: true}}
		},
		Log: zerolog.Nop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	err = manager.Round(t.Context())
	for _, want := range []string{unreadable.Key, "write rollout of policy refused"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("round returned %v, want an error with %q", err, want)
		}
	}
	want := fleetconfig.Rollout{Version: 7, Phase: fleetconfig.PhaseStage, Term: 3}
	if got := writer.written["lifts"]; got != want {
		t.Errorf("rollout of the last policy %+v, want %+v", got, want)
	}
}
