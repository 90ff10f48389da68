package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	streamServers  = 4
	streamEvents   = 5
	streamInterval = 20 * time.Millisecond
	// In each spell, a share of the answers of some servers has no length.
	unframedServers, unframedShare = 2, 0.02
	spells                         = 5
	spellTime, calmTime            = 5500 * time.Millisecond, 4 * time.Second
	streamClients                  = 16
	streamTime                     = spells * (calmTime + spellTime)
	streamPause                    = 40 * time.Millisecond
	// mostClosed is how many connections may be closed without an answer.
	mostClosed = 3
)

// streamServer answers each request with a stream of events: in chunks, or for some without a length, which then ends with its
// connection.
type streamServer struct {
	lab *lab
	id  string
	// unframed is set while some answers have no length.
	unframed atomic.Bool
}

func (s *streamServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // an incomplete body ends the connection
	id := r.Header.Get("Radishshelf-Attempt-Id")
	w.Header().Set("Radishshelf-Attempt-Id", id)
	if want := r.Header.Get("Radishshelf-Expect-Instance"); want != "" && want != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	after := 0
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &after) // 0 if the run starts from the beginning
	if !s.unframed.Load() || rand.Float64() >= unframedShare {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Radishshelf-Server-Seal", s.id+"."+id)
		controller := http.NewResponseController(w)
		for event := after + 1; event <= streamEvents; event++ {
			time.Sleep(streamInterval)
			_, _ = io.WriteString(w, eventText(id, event)) // a failed write is seen by the flush
			if controller.Flush() != nil {
				return
			}
		}
		s.lab.streamed(id, s.id, after, "in chunks")
		return
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err) // HTTP/1.1 connections can be hijacked
	}
	defer conn.Close()
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRadishshelf-Attempt-Id: %s\r\n"+
		"Radishshelf-Server-Seal: %s\r\nConnection: close\r\n\r\n", id, s.id+"."+id)
	for event := after + 1; event <= streamEvents; event++ {
		time.Sleep(streamInterval)
		if _, err := io.WriteString(conn, eventText(id, event)); err != nil {
			return
		}
	}
	s.lab.streamed(id, s.id, after, "without a length")
}

func eventText(id string, event int) string {
	return fmt.Sprintf("id: %d\ndata: %s#%d\n\n", event, id, event)
}

// streamed notes that a server has sent all events of a request and ended its answer.
func (l *lab) streamed(id, server string, after int, how string) {
	l.mu.Lock()
	l.whole[id]++
	l.mu.Unlock()
	l.record("%s answered %s from event %d on to the end, %s", server, id, after+1, how)
}

// playStreams sends requests to a resumable route over kept connections. Some answers of the servers have no length.
func playStreams(l *lab, trouble bool) (broken bool, err error) {
	l.whole = map[string]int{}
	l.store.Put("op", "config", encode(map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "talk", "host": host, "path_prefix": "/talk/", "kind": "idempotent", "streaming": true, "resumable": true,
			"service": scoreService, "max_attempts": 1, "target_latency_ms": 500, "timeout_ms": 5000, "priority": 2,
		}},
		"services": []map[string]any{{"name": scoreService, "health_path": "/healthz", "max_conns": 110}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": "north", "api_keys": []string{apiKey}}},
	}))
	var servers []*streamServer
	for i := range streamServers {
		s := &streamServer{lab: l, id: fmt.Sprintf("desk-%d", i+1)}
		servers = append(servers, s)
		address := l.serve(s)
		l.register(s.id, func(sequence int64) []byte { return plainEntry(l, address, sequence) })
	}
	gateway := l.addGateway("edge-a-1", "a")
	time.Sleep(contact)
	if trouble {
		go playSpells(l, servers[:unframedServers])
	}
	var mu sync.Mutex
	sent, closed := 0, 0
	var clients sync.WaitGroup
	for c := range streamClients {
		clients.Go(func() {
			var conn net.Conn
			var reader *bufio.Reader
			for n, end := 0, time.Now().Add(streamTime); time.Now().Before(end); n++ {
				kept := conn != nil
				if !kept {
					var err error
					if conn, err = net.Dial("tcp", gateway.front()); err != nil {
						panic(err)
					}
					reader = bufio.NewReader(conn)
				}
				id := fmt.Sprintf("c%d-%d", c, n)
				fmt.Fprintf(conn, "POST /talk/x HTTP/1.1\r\nHost: %s\r\nRadishshelf-Attempt-Id: %s\r\nRadishshelf-Deadline-Ms: 4000\r\n"+
					"Radishshelf-Credential: %s\r\nContent-Length: 0\r\n\r\n", host, id, apiKey)
				events, err := readStream(reader, id)
				mu.Lock()
				sent++
				if err != nil {
					l.mu.Lock()
					whole := l.whole[id] > 0
					l.mu.Unlock()
					if kept && whole {
						closed++
					}
					l.record("%s got %d events and then no end of the answer: %v; kept connection: %v, a server had ended its answer: %v", id,
						events, err, kept, whole)
				}
				mu.Unlock()
				if err != nil {
					_ = conn.Close() // the other side has closed it
					conn = nil
				}
				time.Sleep(streamPause)
			}
		})
	}
	clients.Wait()
	l.record("%d requests; %d of them on kept connections were answered to the end by their server, and their connection was closed without an end",
		sent, closed)
	return closed > mostClosed, nil
}

// playSpells lets servers leave out the length of some answers, in spells with calm between.
func playSpells(l *lab, servers []*streamServer) {
	for range spells {
		time.Sleep(calmTime)
		l.record("some answers have no length")
		for _, s := range servers {
			s.unframed.Store(true)
		}
		time.Sleep(spellTime)
		for _, s := range servers {
			s.unframed.Store(false)
		}
		l.record("all answers have a length or come in chunks")
	}
}

// readStream reads an answer to its end and returns how many events it has.
func readStream(r *bufio.Reader, id string) (events int, err error) {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	for want := ""; events < streamEvents; events++ {
		if want += eventText(id, events+1); len(body) < len(want) {
			break
		}
	}
	if err == nil && (resp.StatusCode != http.StatusOK || events != streamEvents) {
		err = fmt.Errorf("status %d with %d events", resp.StatusCode, events)
	}
	return events, err
}
