package trainer

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/dataplane"
	"github.com/radishshelf/radishshelf/lots"
	"github.com/radishshelf/radishshelf/lotstore"
	"github.com/radishshelf/radishshelf/samples"
	"github.com/radishshelf/radishshelf/settings"
	"github.com/radishshelf/radishshelf/standin/memory"
	"github.com/radishshelf/radishshelf/telemetry"
	"github.com/radishshelf/radishshelf/trainerapi"
)

// handlerTransport is a RoundTripper that calls the handler directly, so that the test can run in virtual time.
type handlerTransport struct{ handler http.Handler }

func (d handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	rec := httptest.NewRecorder()
	d.handler.ServeHTTP(rec, r)
	if r.Context().Err() != nil {
		return nil, r.Context().Err()
	}
	return rec.Result(), nil
}

// fakeService implements the publisher and the authenticator of the trainer API.
type fakeService struct{ version atomic.Int64 }

func (s *fakeService) PublishVersion(_ context.Context, _ string, version int64) error {
	s.version.Store(version)
	return nil
}

func (s *fakeService) Trainer(*http.Request) (string, error) { return "coach", nil }

// Guards against samples that are trained on twice or lost, and against a stale lot, when the trainer restarts while it trains
// on a lot and the store has an outage while it pulls.
func TestTrainerSurvivesRestartAndOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := memory.New(memory.Options{})
		store := lotstore.New(lotstore.Options{
			Table: p.Table, Objects: p.Objects, Log: zerolog.Nop(), Registry: telemetry.NewRegistry(),
			Spec: func(string) (lots.Spec, bool) { return lots.Spec{MaxStaleness: 2, LotSamples: 4}, true },
		})
		service := &fakeService{}
		service.version.Store(1)
		api := trainerapi.New(trainerapi.Options{
			Lots: store, Publisher: service, Authenticator: service, Log: zerolog.Nop(), Registry: telemetry.NewRegistry(),
		})
		s := Defaults()
		s.Trainer, s.ServiceURL, s.TrainTime = "coach", "http://127.0.0.1:1", settings.Duration(time.Second)
		trainer := New(s, &http.Client{Transport: handlerTransport{api}}, zerolog.Nop())
		ctx, cancel := context.WithCancel(t.Context())
		go trainer.Run(ctx)
		go store.Run(ctx)
		for i := range 12 {
			g := newGroup(fmt.Sprintf("g%d", i), service.version.Load())
			go func() { _ = store.AddGroup(ctx, g) }()
			switch i {
			case 3:
				time.Sleep(1500 * time.Millisecond)
				trainer.Restart()
			case 6:
				p.Table.Faults.Set(memory.Faults{Outage: true})
			case 8:
				p.Table.Faults.Set(memory.Faults{})
			}
			time.Sleep(2 * time.Second)
		}
		time.Sleep(30 * time.Second)
		cancel()
		synctest.Wait()
		r := trainer.Report()
		if r.Samples != 24 || len(r.Duplicates) != 0 || len(r.ChangedLots) != 0 || r.MaxStaleness > 2 || r.Restarts != 1 {
			t.Fatalf("report %+v", r)
		}
		if want := []int64{2, 3, 4, 5, 6, 7}; !slices.Equal(r.Published, want) || r.Errors == 0 || r.IdleSeconds == 0 {
			t.Fatalf("report %+v, want versions %v", r, want)
		}
	})
}

// newGroup returns a group of two samples of one version.
func newGroup(id string, version int64) samples.Group {
	b := samples.NewGroupBuilder("coach", "planner", id, 2)
	for i := range 2 {
		b.Add(samples.Generation{
			Group: id, Index: i, Messages: json.RawMessage(`[]`),
			Result: dataplane.Result{CompletionTokens: 1, Spans: []dataplane.Span{{Version: version, Tokens: 1}}},
		})
	}
	g, _ := b.Group()
	return g
}

// Guards against null instead of empty lists in the report, which breaks scripts that count the entries.
func TestEmptyReportHasNoNullLists(t *testing.T) {
	w := httptest.NewRecorder()
	New(Defaults(), http.DefaultClient, zerolog.Nop()).AdminHandler().ServeHTTP(w, httptest.NewRequest("GET", "/admin/report", nil))
	if w.Code != http.StatusOK || strings.Contains(w.Body.String(), "null") {
		t.Fatalf("status %d, body %s", w.Code, w.Body)
	}
}

// Guards against settings accepted with a service URL without a scheme or a pull wait longer than the service allows.
func TestInvalidSettings(t *testing.T) {
	s := Defaults()
	err := settings.Load([]byte(`{"admin_address":"127.0.0.1:1","trainer":"coach","key":"k","service_url":"entry","pull_wait":"2m"}`), &s)
	var list interface{ Unwrap() []error }
	if list, _ = err.(interface{ Unwrap() []error }); list == nil || len(list.Unwrap()) != 2 {
		t.Fatalf("faults: %v", err)
	}
}
