package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// server is a stand-in of a server of a service. It speaks HTTP/1.1 on raw connections, so that a case decides what each
// connection carries.
type server struct {
	f             *fleet
	name, service string
	zone          string
	slots         int
	versions      map[string]int64
	// serve answers one request that was read from a connection; it returns false to close the connection.
	serve func(c *serverConn, r *serverRequest) bool

	mu       sync.Mutex
	id       string
	born     int64
	starts   int
	address  string
	listener net.Listener
	conns    map[net.Conn]bool
	sequence int64
	orders   int64
	stop     chan struct{}
	running  int
	// loading is set while the server carries out an order.
	loading bool
}

// serverConn is a connection to a server.
type serverConn struct {
	net.Conn
	s *server
	// extra is a second copy of the last answer that is still to be sent.
	extra, extraID string
}

// serverRequest is a request that a server has read.
type serverRequest struct {
	ID, Path, Tenant string
	Header           http.Header
	Body             []byte
	// After is the ID of the last event that the sender has.
	After int
	// closed is closed when the connection ends.
	closed <-chan struct{}
}

func (f *fleet) newServer(name, service, zone string, slots int) *server {
	return &server{f: f, name: name, service: service, zone: zone, slots: slots, conns: map[net.Conn]bool{}}
}

// start starts an incarnation with a new ID and writes its entry.
func (s *server) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	address := s.address
	if address == "" {
		address = s.f.nextIP() + ":0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.starts++
	s.id, s.born = fmt.Sprintf("i-%s-%d", s.name, s.starts), time.Now().UnixMilli()
	s.listener, s.address, s.stop, s.orders, s.running = l, l.Addr().String(), make(chan struct{}), 0, 0
	go s.accept(l)
	go s.heartbeat(s.id, s.stop)
	return nil
}

// crash ends the incarnation: its connections are reset, nothing listens any more, and its entry is removed after three
// heartbeats of silence.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.stop)
	_ = s.listener.Close()
	for c := range s.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	s.conns = map[net.Conn]bool{}
	id := s.id
	s.f.rec.printf("server %s (%s) crashed", s.name, id)
	time.AfterFunc(silentHeartbeats*heartbeatInterval, func() { s.f.store.Delete("servers", id) })
}

func (s *server) heartbeat(id string, stop chan struct{}) {
	for {
		s.mu.Lock()
		s.sequence++
		models := []map[string]any{}
		for name, version := range s.versions {
			models = append(models, map[string]any{"name": name, "version": version, "adapters": []string{}})
		}
		value, err := json.Marshal(map[string]any{
			"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": "ready",
			"cold_left_ms": 0, "stage": "both", "models": models, "sequence": s.sequence, "born": s.born,
		})
		s.mu.Unlock()
		if err != nil {
			panic(err) // maps of strings and numbers can always be encoded
		}
		select {
		case <-stop:
			return
		default:
			s.f.store.Put("servers", id, value)
		}
		select {
		case <-stop:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

func (s *server) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = true
		s.mu.Unlock()
		go s.handle(conn)
	}
}

func (s *server) handle(conn net.Conn) {
	closed := make(chan struct{})
	c := &serverConn{Conn: conn, s: s}
	defer func() {
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
		_ = conn.Close()
	}()
	requests := make(chan *serverRequest)
	go func() {
		defer close(closed)
		defer close(requests)
		reader := bufio.NewReader(conn)
		for {
			r, err := readRequest(reader)
			if err != nil {
				return
			}
			r.closed = closed
			requests <- r
		}
	}()
	for r := range requests {
		if !s.answer(c, r) {
			_ = conn.Close()
			for range requests { //nolint:revive // the reader ends with the connection
			}
			return
		}
	}
}

func readRequest(reader *bufio.Reader) (*serverRequest, error) {
	r, err := http.ReadRequest(reader)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0, from the beginning, if it is not given
	return &serverRequest{
		ID: r.Header.Get("Radishshelf-Attempt-Id"), Path: r.URL.Path, Tenant: r.Header.Get("Radishshelf-Tenant"),
		Header: r.Header, Body: body, After: after,
	}, nil
}

func (s *server) answer(c *serverConn, r *serverRequest) bool {
	s.mu.Lock()
	id := s.id
	s.mu.Unlock()
	if want := r.Header.Get("Radishshelf-Expect-Instance"); want != "" && want != id {
		c.send(421, map[string]string{"Radishshelf-Instance-Id": id, "Radishshelf-Attempt-Id": r.ID}, "")
		return true
	}
	switch r.Path {
	case "/-/report":
		s.mu.Lock()
		models := []map[string]any{}
		for name, version := range s.versions {
			models = append(models, map[string]any{"name": name, "version": version, "adapters": []string{}})
		}
		body, _ := json.Marshal(map[string]any{
			"stage": "both", "models": models, "busy": s.loading, "sequence": s.orders, "queued": 0, "running": s.running, "kv_used": 0,
			"kv_total": 120000, "handles": 0,
		})
		s.mu.Unlock()
		c.send(200, map[string]string{"Content-Type": "application/json"}, string(body))
		return true
	case "/-/order":
		return s.order(c, r)
	}
	return s.serve(c, r)
}

// loadTime is how long a change of version takes.
const loadTime = 900 * time.Millisecond

// order accepts an order, whose load waits until the runs in progress have ended. Requests that come meanwhile are refused.
func (s *server) order(c *serverConn, r *serverRequest) bool {
	var order struct {
		Model    string `json:"model"`
		Version  int64  `json:"version"`
		Expected *int64 `json:"expected_rev"`
	}
	if err := json.Unmarshal(r.Body, &order); err != nil {
		c.send(400, nil, "")
		return true
	}
	s.mu.Lock()
	status := 202
	switch {
	case s.loading || order.Expected != nil && *order.Expected != s.orders:
		status = 409
	case s.versions[order.Model] == order.Version:
		status = 200
	default:
		s.orders++
		s.loading = true
		go s.load(order.Model, order.Version)
	}
	s.mu.Unlock()
	s.f.rec.printf("order at %s: %s version %d -> %d", s.name, order.Model, order.Version, status)
	c.send(status, nil, "")
	return true
}

func (s *server) load(model string, version int64) {
	for {
		s.mu.Lock()
		running := s.running
		s.mu.Unlock()
		if running == 0 {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(loadTime)
	s.mu.Lock()
	s.versions[model] = version
	s.loading = false
	s.mu.Unlock()
	s.f.rec.printf("%s serves %s version %d", s.name, model, version)
}

// seal is the server's signature of its answer to a request.
func (s *server) seal(r *serverRequest) string { return s.name + "." + r.ID }

func statusLine(status int) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
}

func encodeHead(status int, header map[string]string) string {
	text := statusLine(status)
	for name, value := range header {
		text += name + ": " + value + "\r\n"
	}
	return text
}

// encodeAnswer returns an answer with a length.
func encodeAnswer(status int, header map[string]string, body string) string {
	return encodeHead(status, header) + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// send sends an answer with a length.
func (c *serverConn) send(status int, header map[string]string, body string) {
	_, _ = io.WriteString(c, encodeAnswer(status, header, body)) // the sender may be gone
}

// notRun refuses a request.
func (c *serverConn) notRun(r *serverRequest) string {
	text := encodeAnswer(503, map[string]string{"Radishshelf-Not-Run": "1", "Radishshelf-Attempt-Id": r.ID}, "")
	_, _ = io.WriteString(c, text) // the sender may be gone
	return text
}

// take takes a slot, if one is free.
func (s *server) take() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.slots || s.loading {
		return false
	}
	s.running++
	return true
}

func (s *server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}
