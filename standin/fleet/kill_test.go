package fleet

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/agent/engineapi"
	"github.com/radishshelf/radishshelf/dataplane"
	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/standin/engine"
	"github.com/radishshelf/radishshelf/standin/service"
)

// bookingDelay keeps several bookings in flight when the entry is killed.
const bookingDelay = 400 * time.Millisecond

// reportTimeout bounds the time until usage is reported: the recovery flush of an entry runs every 20 s, then the window and
// its grace period must pass.
const reportTimeout = 40 * time.Second

// Guards against a booking that runs twice, and against a response that hides that it may have run, when the entry that
// forwarded it is killed and the caller resends it through another entry.
func TestKilledEntryDoesNotRepeatBookings(t *testing.T) {
	t.Parallel()
	f := New(t, binaries, Options{Entries: []string{"sudur", "nordur"}, Desks: 2})
	key := f.GrantKey(Verband).Secret
	for _, d := range f.Desks {
		if _, err := Call(t.Context(), http.MethodPost, d.URL+"/admin/faults", "", map[string]string{"delay": bookingDelay.String()}); err != nil {
			t.Fatal(err)
		}
	}
	const count = 12
	var first [count]Response
	var sent sync.WaitGroup
	var responded atomic.Int64
	for i := range count {
		sent.Go(func() {
			first[i], _ = f.Entries[0].Book(t.Context(), key, bookingID(i))
			responded.Add(1)
		})
		time.Sleep(bookingDelay / 8)
	}
	Eventually(t, takeoverTimeout, "some bookings have a response", func() bool { return responded.Load() >= count/4 })
	f.Entries[0].Kill()
	sent.Wait()
	confirmed, unknown := 0, 0
	for i := range count {
		switch f.resendBooking(key, bookingID(i), first[i]) {
		case http.StatusCreated:
			confirmed++
		case http.StatusConflict:
			unknown++
		}
	}
	if confirmed == 0 || unknown == 0 {
		t.Errorf("%d bookings confirmed, %d unknown; want at least one of each, so that both cases are tested", confirmed, unknown)
	}
	f.checkBookings(nil)
}

func bookingID(i int) string { return fmt.Sprintf("killed-%d", i) }

// resendBooking resends a booking through the second entry, checks the response against the first one and against the
// number of executions, and returns the status.
func (f *Fleet) resendBooking(key, id string, first Response) int {
	f.t.Helper()
	a, err := f.Entries[1].Book(f.t.Context(), key, id)
	if err != nil {
		f.t.Errorf("resend booking %s: %v", id, err)
		return 0
	}
	var booking service.BookingResponse
	switch {
	case first.Status == http.StatusCreated && string(a.Body) != string(first.Body):
		f.t.Errorf("booking %s was confirmed with %v, but the repeat got %v", id, first, a)
	case a.Status == http.StatusCreated:
		if json.Unmarshal(a.Body, &booking) != nil || booking.Execution != 1 {
			f.t.Errorf("booking %s: %v; want its first execution", id, a)
		}
	case a.Status != http.StatusConflict || a.Header.Get(dataplane.HeaderOutcome) != outcome.MayHaveRun.String():
		f.t.Errorf("booking %s: %v; want the stored response or a conflict that says \"may have run\"", id, a)
	}
	return a.Status
}

// Guards against usage that is lost or counted twice when an entry, and later an agent, is killed right after it served
// requests. The agent is killed only after the usage of the entry has been reported, since usage must survive the loss of
// one host at a time.
func TestKilledProcessesLoseNoUsage(t *testing.T) {
	t.Parallel()
	f := New(t, binaries, Options{
		Entries: []string{"sudur", "nordur", "austur"}, Engines: []string{"sudur", "nordur"}, UsageFlushInterval: "3s",
	})
	key := f.GrantKey(Hraunvegur).Secret
	var served Usage
	f.serveChats(f.Entries[0], key, 10, &served)
	f.Entries[0].Kill()
	f.waitReported(Hraunvegur, served)
	f.serveChats(f.Entries[1], key, 10, &served)
	secondEngine := f.engineNearSecondEntry()
	secondEngine.Agent.Kill()
	f.serveChats(f.Entries[2], key, 10, &served)
	f.waitReported(Hraunvegur, served)
	// A record that is counted twice appears within two more windows.
	time.Sleep(2 * usageWindowSeconds * time.Second)
	if got := f.ReportedUsage(Hraunvegur); got != served {
		t.Errorf("reported %+v, served %+v", got, served)
	}
}

// engineNearSecondEntry returns the engine in the data centre of the second entry. It fails the test unless the engine ran
// requests, whose usage its agent has not flushed yet.
func (f *Fleet) engineNearSecondEntry() *Upstream {
	f.t.Helper()
	near := f.Engines[1]
	var executions engine.ExecutionsResponse
	ReadJSON(f.t, near.URL+"/admin/executions", &executions)
	if len(executions.RequestIDs) == 0 {
		f.t.Fatalf("%s ran no request", near.Name)
	}
	return near
}

// waitReported waits until the reported requests of a workspace reach the served requests.
func (f *Fleet) waitReported(workspace string, served Usage) {
	f.t.Helper()
	var got Usage
	defer func() {
		if got.Requests < served.Requests {
			f.t.Logf("reported %+v, served %+v", got, served)
		}
	}()
	Eventually(f.t, reportTimeout, fmt.Sprintf("the reports of %s reach %d requests", workspace, served.Requests), func() bool {
		got = f.ReportedUsage(workspace)
		return got.Requests >= served.Requests
	})
}

// serveChats sends count chat completions one after the other and adds their usage to served.
func (f *Fleet) serveChats(e *Entry, key string, count int, served *Usage) {
	f.t.Helper()
	for i := range count {
		a, err := e.Chat(f.t.Context(), key, fmt.Sprintf("fare %d", i), 8+i, false)
		if err != nil || a.Status != http.StatusOK {
			f.t.Fatalf("chat through %s: %v: %v", e.Name, a, err)
		}
		var response engineapi.ChatResponse
		if err := json.Unmarshal(a.Body, &response); err != nil || response.Usage == nil {
			f.t.Fatalf("chat through %s: %v: %v", e.Name, a, err)
		}
		served.Add(1, response.Usage.PromptTokens, response.Usage.CompletionTokens)
	}
}
