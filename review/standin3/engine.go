package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// loadTime is how long an engine takes to change its weights.
const loadTime = 900 * time.Millisecond

// visit is the time that an item spends at an engine, from its arrival to the end of its run.
type visit struct {
	engine   string
	from, to time.Time
	after    int
	ended    string
}

// engine is a model server. It runs up to slots requests, refuses what is beyond, and carries out one order at a time.
type engine struct {
	lab           *lab
	id            string
	slots         int
	eventInterval time.Duration

	mu      sync.Mutex
	running int
	orders  int64
	version int64
	loading time.Time
	// slower is by how much each event takes longer; 0 means not at all.
	slower float64
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("Radishshelf-Expect-Instance"); want != "" && want != e.id {
		w.Header().Set("Radishshelf-Attempt-Id", r.Header.Get("Radishshelf-Attempt-Id"))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/-/report":
		e.report(w)
	case "/-/order":
		e.order(w, r)
	default:
		e.run(w, r)
	}
}

// interval returns the time of the next event.
func (e *engine) interval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration(max(e.slower, 1) * float64(e.eventInterval))
}

func (e *engine) setSlower(x float64) {
	e.mu.Lock()
	e.slower = x
	e.mu.Unlock()
}

func (e *engine) models() []map[string]any {
	return []map[string]any{{"name": model, "version": e.version, "adapters": []string{}}}
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, map[string]any{
		"stage": "both", "models": e.models(), "busy": time.Now().Before(e.loading), "sequence": e.orders, "queued": 0,
		"running": e.running, "kv_used": 0, "kv_total": 200000, "handles": 0, "born": e.lab.started.UnixMilli(),
	})
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation string `json:"operation"`
		Model     string `json:"model"`
		Version   int64  `json:"version"`
		Holder    string `json:"holder"`
		Token     *int64 `json:"fencing_token"`
		Expected  *int64 `json:"expected_rev"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" || o.Token == nil || o.Operation != "version" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case time.Now().Before(e.loading), o.Expected != nil && *o.Expected != e.orders:
		w.WriteHeader(http.StatusConflict)
		return
	case e.version >= o.Version:
		w.WriteHeader(http.StatusOK)
		return
	}
	e.orders++
	e.version = o.Version
	e.loading = time.Now().Add(loadTime)
	e.lab.record("order accepted at %s: version %d from %s with token %d", e.id, o.Version, o.Holder, *o.Token)
	w.WriteHeader(http.StatusAccepted)
}

// run generates the events of an item: as many as its body says.
func (e *engine) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Radishshelf-Attempt-Id")
	events, _ := strconv.Atoi(string(body))
	w.Header().Set("Radishshelf-Attempt-Id", id)
	e.mu.Lock()
	if e.running >= e.slots || time.Now().Before(e.loading) {
		e.mu.Unlock()
		w.Header().Set("Radishshelf-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.running++
	version := e.version
	e.mu.Unlock()
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 if the run starts from the beginning
	v := e.lab.begin(id, e.id, after)
	ended := "cut by the sender"
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
		e.lab.end(id, v, ended)
	}()
	w.Header().Set("Radishshelf-Server-Seal", e.id+"."+id)
	w.Header().Set("Radishshelf-Weight-Versions", strconv.FormatInt(version, 10))
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for event := after + 1; event <= events; event++ {
		select {
		case <-time.After(e.interval()):
		case <-r.Context().Done():
			return
		}
		e.mu.Lock()
		now := e.version
		e.mu.Unlock()
		line := ""
		if now != version {
			version, line = now, fmt.Sprintf("radishshelf-weight-versions: %d\n", now)
		}
		fmt.Fprintf(w, "%sid: %d\ndata: %s#%d\n\n", line, event, id, event)
		if controller.Flush() != nil {
			return
		}
	}
	ended = "complete"
}

func (e *engine) entry(address string, sequence int64) []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	return encode(map[string]any{
		"service": engineService, "address": address, "zone": "a", "version": "1", "slots": e.slots, "state": "ready",
		"cold_left_ms": 0, "sequence": sequence, "born": e.lab.started.UnixMilli(), "stage": "both", "models": e.models(),
	})
}

// scorer is a server of the service that scores texts.
type scorer struct {
	lab *lab
	id  string
}

func (s *scorer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // an incomplete body ends the connection
	id := r.Header.Get("Radishshelf-Attempt-Id")
	w.Header().Set("Radishshelf-Attempt-Id", id)
	if want := r.Header.Get("Radishshelf-Expect-Instance"); want != "" && want != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	time.Sleep(30 * time.Millisecond)
	w.Header().Set("Radishshelf-Server-Seal", s.id+"."+id)
	_, _ = io.WriteString(w, "scored") // the sender may have left
}

// plainEntry returns the entry of a server of the service without a model.
func plainEntry(l *lab, address string, sequence int64) []byte {
	return encode(map[string]any{
		"service": scoreService, "address": address, "zone": "a", "version": "1", "slots": 16, "state": "ready",
		"cold_left_ms": 0, "sequence": sequence, "born": l.started.UnixMilli(),
	})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(encode(v)) // the caller may have left
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // maps of strings and numbers can always be encoded
	}
	return data
}

func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	return l
}
