package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["limits"] = playLimits }

const (
	lotItems    = 8
	maxAttempts = 5
	lotModel    = "fares"
	// silentTime is how long a silent connection goes unnoticed: the gateway's keep-alive probes end it then.
	silentTime = 2 * time.Second
	eventPause = 20 * time.Millisecond
	lotEvents  = 5
)

var (
	lotGateways = []string{"edge-sudur-a-1", "edge-sudur-a-2", "edge-sudur-a-3"}
	// newPrefixes are the path prefixes of the routes that version 2 adds.
	newPrefixes = []string{"pule252", "lohu930", "pufi791", "rada743", "ravo486", "ficu95", "wuno96", "huvo11"}
)

// lotConfig returns a configuration with one rollout route, and with more of them from version 2 on, which have the given
// further fields.
func lotConfig(version int, fields string) string {
	var routes []string
	add := func(prefix string) {
		routes = append(routes, fmt.Sprintf(`{"name":"r%s","host":"api.example","path_prefix":"/%s/","kind":"rollout","service":"engines",
"max_attempts":%d,"target_latency_ms":500,"timeout_ms":10000,"due_ms":7500,"item_ttl_s":40,"priority":0%s}`, prefix, prefix, maxAttempts, fields))
	}
	add("first")
	for _, prefix := range newPrefixes {
		if version > 1 {
			add(prefix)
		}
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s,
{"name":"score","host":"api.example","path_prefix":"/score/","kind":"idempotent","service":"desk","max_attempts":4,
"target_latency_ms":250,"timeout_ms":1500,"priority":2,"public":true}],
"services":[{"name":"engines","health_path":"/healthz","max_conns":160,"engine":{"models":[{"name":"%s"}]}},
{"name":"desk","health_path":"/healthz","max_conns":96}],
"limits":{"max_header_bytes":16384,"max_body_bytes":33554432,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"north","api_keys":["key-of-north"]}]}`, version, strings.Join(routes, ","), lotModel)
}

// silencer is the path from one gateway to the store. On silence, the connection on which the gateway watches the operator's
// rows carries nothing any more; new connections work.
type silencer struct {
	next http.Handler
	mu   sync.Mutex
	// silent is closed when the connection goes silent.
	silent chan struct{}
}

func (s *silencer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/-/rows-feed" || r.URL.Query().Get("table") != "op" {
		s.next.ServeHTTP(w, r)
		return
	}
	s.mu.Lock()
	silent := s.silent
	s.mu.Unlock()
	done := make(chan struct{})
	answer := &heldAnswer{header: http.Header{}}
	go func() {
		defer close(done)
		s.next.ServeHTTP(answer, r)
	}()
	select {
	case <-done:
	case <-silent:
		time.Sleep(silentTime)
		panic(http.ErrAbortHandler)
	}
	for name, values := range answer.header {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.status)
	_, _ = w.Write(answer.body) // the gateway may be gone
}

// silence makes the connection that is in use now go silent.
func (s *silencer) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.silent)
	s.silent = make(chan struct{}) // later calls come on new connections
}

// heldAnswer keeps an answer until it is known whether its connection still carries it.
type heldAnswer struct {
	header http.Header
	status int
	body   []byte
}

func (h *heldAnswer) Header() http.Header { return h.header }

func (h *heldAnswer) WriteHeader(status int) { h.status = status }

func (h *heldAnswer) Write(p []byte) (int, error) {
	if h.status == 0 {
		h.status = http.StatusOK
	}
	h.body = append(h.body, p...)
	return len(p), nil
}

// failures counts the answers with status 500 that servers gave for each item.
type failures struct {
	mu sync.Mutex
	n  map[string]int
}

func (c *failures) add(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n[id]++
	return c.n[id]
}

func (c *failures) of(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n[id]
}

// playLimits: the operator adds routes for batch jobs, with max_attempts 5, and trainers submit a job on each of them at once.
// One item of each job fails at each run. One gateway's connection to the store went silent just before.
func playLimits(f *fleet, trouble bool) (bool, error) {
	failed := &failures{n: map[string]int{}}
	for i := range 3 {
		e := f.newServer(fmt.Sprintf("engine-%d", i), "engines", "a", 16)
		e.versions = map[string]int64{lotModel: 1}
		e.serve = func(c *serverConn, r *serverRequest) bool { return serveItem(f, e, c, r, failed) }
		d := f.newServer(fmt.Sprintf("desk-%d", i), "desk", "a", 6)
		d.serve = func(c *serverConn, r *serverRequest) bool {
			c.send(200, map[string]string{"Radishshelf-Attempt-Id": r.ID, "Radishshelf-Server-Seal": d.seal(r)}, "score")
			return true
		}
		for _, s := range []*server{e, d} {
			if err := s.start(); err != nil {
				return false, err
			}
		}
	}
	if err := addRoutesInSilence(f, trouble, ""); err != nil {
		return false, err
	}
	time.Sleep(500 * time.Millisecond)
	return runLots(f, failed)
}

// addRoutesInSilence starts three gateways with the first configuration. Then one of them stops to hear of the operator's rows,
// and the operator adds routes.
func addRoutesInSilence(f *fleet, trouble bool, fields string) error {
	f.putConfig(lotConfig(1, fields))
	path := &silencer{next: f.storeHandler(), silent: make(chan struct{})}
	for _, name := range lotGateways {
		handler := f.storeHandler()
		if name == lotGateways[2] {
			handler = path
		}
		if _, err := f.startGateway(name, "a", handler); err != nil {
			return err
		}
		if err := f.waitReady(); err != nil { // the first one takes the duties
			return err
		}
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(5 * time.Second) // heartbeats, and the first trainer's work
	if trouble {
		f.rec.printf("the connection on which %s watches the operator's rows goes silent", lotGateways[2])
		path.silence()
		time.Sleep(100 * time.Millisecond)
	}
	f.putConfig(lotConfig(2, fields))
	return nil
}

// serveItem generates the text of an item. Items whose ID ends with -bad fail at each run.
func serveItem(f *fleet, s *server, c *serverConn, r *serverRequest, failed *failures) bool {
	header := map[string]string{"Radishshelf-Attempt-Id": r.ID, "Radishshelf-Server-Seal": s.seal(r)}
	if strings.HasSuffix(r.ID, "-bad") {
		time.Sleep(eventPause)
		f.rec.printf("%s answers %s with status 500, the %d. for this item", s.name, r.ID, failed.add(r.ID))
		c.send(500, header, "")
		return true
	}
	s.mu.Lock()
	header["Radishshelf-Weight-Versions"] = fmt.Sprint(s.versions[lotModel])
	s.mu.Unlock()
	header["Content-Type"], header["Transfer-Encoding"] = "text/event-stream", "chunked"
	_, _ = io.WriteString(c, encodeHead(200, header)+"\r\n") // a failed write shows as a closed connection
	for n := r.After + 1; n <= lotEvents; n++ {
		time.Sleep(eventPause)
		text := eventText(r.ID, n)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text); err != nil {
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// lotBody returns the body of a batch job whose last item fails at each run.
func lotBody(lot string) []byte {
	var requests []map[string]any
	for i := range lotItems {
		id := fmt.Sprintf("%s-item%d", lot, i)
		if i == lotItems-1 {
			id = lot + "-bad"
		}
		body := base64.StdEncoding.EncodeToString([]byte(id))
		requests = append(requests, map[string]any{
			"id": id, "path": "/item/" + id, "body": body, "tokens": 400, "group": fmt.Sprint(i / 4),
			"headers":    map[string]string{"Radishshelf-Model": lotModel, "Radishshelf-Token-Usage": "100,300"},
			"scorer_url": map[string]any{"id": "score-" + id, "host": apiHost, "path": "/score/" + id, "body": body},
		})
	}
	data, err := json.Marshal(map[string]any{
		"step": 0, "model": lotModel, "min_version": 1, "desired": 2, "requests": requests,
	})
	if err != nil {
		panic(err) // strings and numbers can always be encoded
	}
	return data
}

// runLots submits one job on each new route, at the first two gateways, and checks its results.
func runLots(f *fleet, failed *failures) (bool, error) {
	var lots []string
	for n, prefix := range newPrefixes {
		lot := fmt.Sprintf("lot%d", n)
		status := 0
		for try := 0; try < 4 && status != http.StatusAccepted; try++ {
			r := exchange(http.MethodPost, f.gateways[(n+try)%2].front(), "/"+prefix+"/"+lot, lot, lotBody(lot), 5*time.Second)
			status = r.status
			f.rec.printf("answer to the submission of %s: %d", lot, status)
		}
		if status != http.StatusAccepted {
			return false, fmt.Errorf("job %s was not accepted: status %d", lot, status)
		}
		lots = append(lots, lot)
	}
	held, read := true, 0
	for n, lot := range lots {
		page, err := readLot(f, n, lot)
		if err != nil {
			return false, err
		}
		for _, r := range page {
			read++
			count := failed.of(r.ID)
			if r.State == "abandoned" && count < maxAttempts {
				f.rec.printf("MIXED %s is abandoned after %d answers of 500; max_attempts is %d", r.ID, count, maxAttempts)
				held = false
			} else if r.State == "abandoned" {
				f.rec.printf("%s is abandoned after %d answers of 500", r.ID, count)
			}
		}
	}
	if read != len(newPrefixes)*lotItems {
		return false, fmt.Errorf("%d results were read, not %d", read, len(newPrefixes)*lotItems)
	}
	return held, nil
}

type lotResult struct {
	ID    string `json:"id"`
	State string `json:"state"`
	// Versions are those under which the events of the text were made.
	Versions []int64 `json:"versions"`
}

// readLot reads all results of a job within 30 s, page by page.
func readLot(f *fleet, n int, lot string) ([]lotResult, error) {
	var results []lotResult
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		target := fmt.Sprintf("/-/lots/%s?after=%d", lot, len(results))
		r := exchange(http.MethodGet, f.gateways[n%2].front(), target, "", nil, 5*time.Second)
		f.rec.printf("read %s at %s: %d %.160s", lot, f.gateways[n%2].name, r.status, r.body)
		var page struct {
			Total   int         `json:"total"`
			Results []lotResult `json:"results"`
		}
		if r.status != http.StatusOK || json.Unmarshal(r.body, &page) != nil {
			continue
		}
		if results = append(results, page.Results...); len(results) == page.Total {
			return results, nil
		}
	}
	return nil, fmt.Errorf("job %s was not complete in 30 s", lot)
}
