package standin2

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Arrival is a request that reached an upstream.
type Arrival struct {
	At                                   time.Time
	Upstream, ID, Method, Target, Tenant string
	Resume                               int
	Priority                             string
	Body                                 []byte
	Order                                bool
}

// Upstream is a server: an engine if Models is set, and a plain service otherwise.
type Upstream struct {
	ID, Service, Zone, Address string
	Slots                      int
	Born                       int64
	// Work is how long a plain request takes, and Gap the time between two events; Events the events of a text, each of
	// EventBytes.
	Work, Gap          time.Duration
	Events, EventBytes int

	mu       sync.Mutex
	Models   map[string]int64
	sequence int64
	beats    int64
	state    string
	stopped  bool
	server   *http.Server
	store    *Store
	// Header is added to each answer.
	Header http.Header
	// OnArrival is called for each request and order; it returns true if it has answered.
	OnArrival func(a Arrival, w http.ResponseWriter, r *http.Request) bool
	// OnDone is called when a run has ended; whole says whether its answer was written to the end.
	OnDone func(a Arrival, whole bool)
}

// BeatInterval is the time between two writes of an entry.
const BeatInterval = 1200 * time.Millisecond

// Start serves the upstream and registers it.
func (u *Upstream) Start(store *Store) error {
	u.store, u.state = store, "ready"
	if u.Born == 0 {
		u.Born = time.Now().UnixMilli()
	}
	address, server, err := Listen("127.0.0.1", u)
	if err != nil {
		return err
	}
	u.Address, u.server = address, server
	u.beat()
	go func() {
		for {
			time.Sleep(BeatInterval)
			u.mu.Lock()
			stopped := u.stopped
			u.mu.Unlock()
			if stopped {
				return
			}
			u.beat()
		}
	}()
	return nil
}

// beat writes the entry.
func (u *Upstream) beat() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.stopped {
		return
	}
	u.beats++
	entry := map[string]any{
		"service": u.Service, "address": u.Address, "zone": u.Zone, "version": "v1", "slots": u.Slots, "state": u.state,
		"cold_left_ms": 0, "sequence": u.beats, "born": u.Born,
	}
	if len(u.Models) > 0 {
		entry["stage"], entry["models"] = "both", u.models()
	}
	data, _ := json.Marshal(entry)
	u.store.Put("servers", u.ID, data)
}

// models returns the models as they are listed. The caller holds the lock.
func (u *Upstream) models() []map[string]any {
	var list []map[string]any
	for name, version := range u.Models {
		list = append(list, map[string]any{"name": name, "version": version, "adapters": []string{}})
	}
	return list
}

// Version returns the version of a model's weights.
func (u *Upstream) Version(model string) int64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.Models[model]
}

// Stop ends the server at once and removes its entry.
func (u *Upstream) Stop() {
	u.mu.Lock()
	u.stopped = true
	u.mu.Unlock()
	u.server.Close()
	u.store.Remove("servers", u.ID)
}

// ServeHTTP implements http.Handler.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	for name, values := range u.Header {
		w.Header()[name] = values
	}
	if expect := r.Header.Get("Radishshelf-Expect-Instance"); expect != "" && expect != u.ID {
		w.Header().Set("Radishshelf-Instance-Id", u.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/healthz":
		w.Header().Set("Radishshelf-Instance-Id", u.ID)
		w.WriteHeader(http.StatusOK)
		return
	case "/-/report":
		u.mu.Lock()
		body := map[string]any{"stage": "both", "models": u.models(), "busy": false, "sequence": u.sequence, "queued": 0, "running": 0, "kv_used": 0, "kv_total": 46063, "handles": 0}
		u.mu.Unlock()
		writeJSON(w, http.StatusOK, body)
		return
	case "/-/order":
		u.order(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	a := Arrival{
		At: time.Now(), Upstream: u.ID, ID: r.Header.Get("Radishshelf-Attempt-Id"), Method: r.Method, Target: r.RequestURI,
		Tenant: r.Header.Get("Radishshelf-Tenant"), Priority: r.Header.Get("Radishshelf-Request-Priority"), Body: body,
	}
	a.Resume, _ = strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if a.ID == "" {
		w.Header().Set("Radishshelf-Not-Run", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("Radishshelf-Attempt-Id", a.ID)
	if u.OnArrival != nil && u.OnArrival(a, w, r) {
		return
	}
	whole := false
	if u.OnDone != nil {
		defer func() { u.OnDone(a, whole) }()
	}
	w.Header().Set("Radishshelf-Server-Seal", "seal."+u.ID+"."+a.ID)
	if len(u.Models) > 0 {
		whole = u.generate(a, w, r)
		return
	}
	select {
	case <-time.After(u.Work):
	case <-r.Context().Done():
		return
	}
	answer := "answer to " + a.ID
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	w.WriteHeader(http.StatusOK)
	_, _ = io.WriteString(w, answer)
	whole = true
}

// EventData returns the data of an event of a text.
func (u *Upstream) EventData(id string, event int) string {
	text := fmt.Sprintf("%s/%d ", id, event)
	if n := u.EventBytes - len(text); n > 0 {
		text += strings.Repeat("x", n)
	}
	return text
}

// generate streams a text and reports whether it came to its end.
func (u *Upstream) generate(a Arrival, w http.ResponseWriter, r *http.Request) bool {
	model := r.Header.Get("Radishshelf-Model")
	version := u.Version(model)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Radishshelf-Weight-Versions", strconv.FormatInt(version, 10))
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	for event := a.Resume + 1; event <= u.Events; event++ {
		select {
		case <-time.After(u.Gap):
		case <-r.Context().Done():
			return false
		}
		line := ""
		if now := u.Version(model); now != version {
			version = now
			line = fmt.Sprintf("radishshelf-weight-versions: %d\n", now)
		}
		if _, err := fmt.Fprintf(w, "%sid: %d\ndata: %s\n\n", line, event, u.EventData(a.ID, event)); err != nil {
			return false
		}
		_ = controller.Flush()
	}
	return true
}

// Order is an order as an upstream sees it.
type Order struct {
	Operation string `json:"operation"`
	Model     string `json:"model"`
	Version   int64  `json:"version"`
	Strategy  string `json:"strategy"`
	Holder    string `json:"holder"`
	Token     int64  `json:"fencing_token"`
	Expected  *int64 `json:"expected_rev"`
}

func (u *Upstream) order(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if u.OnArrival != nil && u.OnArrival(Arrival{At: time.Now(), Upstream: u.ID, Order: true, Body: data}, w, r) {
		return
	}
	var o Order
	if json.Unmarshal(data, &o) != nil || o.Holder == "" || o.Token == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case o.Expected != nil && *o.Expected != u.sequence:
		w.WriteHeader(http.StatusConflict)
	case u.Models[o.Model] == o.Version:
		w.WriteHeader(http.StatusOK)
	default:
		u.sequence++
		w.WriteHeader(http.StatusAccepted)
		time.AfterFunc(900*time.Millisecond, func() {
			u.mu.Lock()
			u.Models[o.Model] = o.Version
			u.mu.Unlock()
			u.beat()
		})
	}
}
