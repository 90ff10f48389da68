package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["twice"] = playTwice }

const (
	billTime     = 80 * time.Second
	billWork     = 60 * time.Millisecond
	billClients  = 4
	quoteClients = 6
	billDeadline = 1500 * time.Millisecond
	// extraShare is the largest share of a server's answers after which a second copy comes, as the pages state it, and
	// garbleTime how long that lasts. It comes again after garblePause.
	extraShare  = 0.03
	garbleTime  = 5 * time.Second
	garblePause = 5 * time.Second
)

const billConfig = `{"version":1,"routes":[
{"name":"bill","host":"api.example","path_prefix":"/bill/","kind":"non_idempotent","service":"desk","max_attempts":3,
"timeout_ms":1500,"target_latency_ms":250,"priority":2},
{"name":"quote","host":"api.example","path_prefix":"/quote/","kind":"idempotent","service":"desk","max_attempts":3,
"timeout_ms":1500,"target_latency_ms":250,"priority":2}],
"services":[{"name":"desk","health_path":"/healthz","max_conns":96}],
"limits":{"max_header_bytes":16384,"max_body_bytes":33554432,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"north","api_keys":["key-of-north"]}]}`

// runs holds where each request began to run, by ID.
type runs struct {
	mu sync.Mutex
	at map[string][]string
}

func (r *runs) add(id, server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.at[id] = append(r.at[id], server)
}

func (r *runs) of(id string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.at[id]
}

// desk is the state of one server of the case.
type desk struct {
	f       *fleet
	s       *server
	runs    *runs
	garbles atomic.Bool
	// answers and extras count the answers of the server and the second copies that it sent, while it garbles.
	mu              sync.Mutex
	answers, extras int
}

// countAnswer counts an answer and reports whether a second copy of it may follow.
func (d *desk) countAnswer(mayRepeat bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.garbles.Load() {
		return false
	}
	d.answers++
	if !mayRepeat || float64(d.extras+1) > extraShare*float64(d.answers) {
		return false
	}
	d.extras++
	return true
}

// serve runs a request for billWork, or refuses it if no slot is free. The second copy of an answer comes late: when the next
// answer on the connection is expected.
func (d *desk) serve(c *serverConn, r *serverRequest) bool {
	if c.extra != "" {
		_, _ = io.WriteString(c, c.extra) // the sender may be gone
		d.f.rec.printf("%s sends a second copy of its answer to %s as %s arrives", d.s.name, c.extraID, r.ID)
		c.extra = ""
	}
	if !d.s.take() {
		text := c.notRun(r)
		bill := strings.HasPrefix(r.Path, "/bill/")
		if bill {
			d.f.rec.printf("%s refuses %s: not run", d.s.name, r.ID)
		}
		if d.countAnswer(bill) {
			c.extra, c.extraID = text, r.ID
		}
		return true
	}
	defer d.s.release()
	if strings.HasPrefix(r.Path, "/bill/") {
		d.f.rec.printf("%s runs %s", d.s.name, r.ID)
		d.runs.add(r.ID, d.s.name)
	}
	time.Sleep(billWork)
	d.countAnswer(false)
	c.send(200, map[string]string{"Radishshelf-Attempt-Id": r.ID, "Radishshelf-Server-Seal": d.s.seal(r)}, "done "+r.ID)
	return true
}

// playTwice: bills, which are not idempotent, and quotes keep three servers nearly full, so that servers refuse some of them
// as not run. One server sends a second copy of a few of its answers.
func playTwice(f *fleet, trouble bool) (bool, error) {
	seen := &runs{at: map[string][]string{}}
	var desks []*desk
	for i := range 3 {
		s := f.newServer(fmt.Sprintf("desk-%d", i), "desk", "a", 2)
		d := &desk{f: f, s: s, runs: seen}
		s.serve = d.serve
		if err := s.start(); err != nil {
			return false, err
		}
		desks = append(desks, d)
	}
	f.putConfig(billConfig)
	for _, name := range []string{"edge-1", "edge-2"} {
		if _, err := f.startGateway(name, "a", f.storeHandler()); err != nil {
			return false, err
		}
	}
	if err := f.waitReady(); err != nil {
		return false, err
	}
	end := time.Now().Add(billTime)
	go func() {
		for trouble && time.Now().Before(end) {
			time.Sleep(garblePause)
			desks[0].garbles.Store(true)
			f.rec.printf("%s sends second copies for 5 s", desks[0].s.name)
			time.Sleep(garbleTime)
			desks[0].garbles.Store(false)
		}
	}()
	var clients sync.WaitGroup
	for n := range quoteClients {
		clients.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				id := fmt.Sprintf("q%02d-%04d", n, i)
				exchange(http.MethodPost, f.gateways[n%2].front(), "/quote/"+id, id, []byte(id), billDeadline)
				time.Sleep(40 * time.Millisecond)
			}
		})
	}
	var mu sync.Mutex
	answers := map[string]reply{}
	for n := range billClients {
		clients.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				id := fmt.Sprintf("b%02d-%04d", n, i)
				r := exchange(http.MethodPost, f.gateways[n%2].front(), "/bill/"+id, id, []byte(id), billDeadline)
				f.rec.printf("answer %s: %d complete=%v", id, r.status, r.complete)
				mu.Lock()
				answers[id] = r
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	time.Sleep(time.Second)
	return judgeBills(f, seen, answers, desks)
}

// judgeBills checks that no bill ran twice, and that none ran that was answered with a promise that it did not.
func judgeBills(f *fleet, seen *runs, answers map[string]reply, desks []*desk) (bool, error) {
	served, twice, refused := 0, 0, 0
	for id, r := range answers {
		at := seen.of(id)
		if r.status == http.StatusOK {
			served++
		}
		if len(at) > 1 {
			twice++
			f.rec.printf("TWICE %s ran at %v; its client got status %d", id, at, r.status)
		}
		promise := r.status == 429 || r.status == 503 || r.status == 408 || r.status == 421
		if promise && len(at) > 0 {
			refused++
			f.rec.printf("REFUSED %s was answered %d and ran at %v", id, r.status, at)
		}
	}
	for _, d := range desks {
		f.rec.printf("%s, while it sent second copies: %d answers, %d second copies", d.s.name, d.answers, d.extras)
	}
	f.rec.printf("bills: %d, served %d, run twice %d, refused though run %d", len(answers), served, twice, refused)
	if served == 0 {
		return false, fmt.Errorf("no bill was served")
	}
	return twice == 0 && refused == 0, nil
}
