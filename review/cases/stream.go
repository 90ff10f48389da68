package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["stream"] = playStream }

const (
	streamEvents   = 20
	streamPause    = 100 * time.Millisecond
	streamDeadline = 12 * time.Second
	streamServers  = 7
	streamRounds   = 7
	streamClients  = 90
	streamTime     = 70 * time.Second
)

const streamConfig = `{"version":1,"routes":[{"name":"tell","host":"api.example","path_prefix":"/tell/","kind":"idempotent",
"streaming":true,"resumable":true,"service":"tellers","max_attempts":4,"timeout_ms":12000,"target_latency_ms":500,"priority":2}],
"services":[{"name":"tellers","health_path":"/healthz","max_conns":160}],
"limits":{"max_header_bytes":16384,"max_body_bytes":33554432,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"north","api_keys":["key-of-north"]}]}`

// playStream: streams of a resumable route run at seven servers. One server crashes; the streams that it cut off are resumed
// elsewhere, and one of the other servers answers a part of its requests with status 500.
func playStream(f *fleet, trouble bool) (bool, error) {
	var grey atomic.Pointer[server]
	var servers []*server
	for i := range streamServers {
		s := f.newServer(fmt.Sprintf("teller-%d", i), "tellers", "a", 16)
		s.serve = func(c *serverConn, r *serverRequest) bool { return serveStream(f, s, c, r, grey.Load() == s) }
		if err := s.start(); err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	f.putConfig(streamConfig)
	for _, name := range []string{"edge-1", "edge-2"} {
		if _, err := f.startGateway(name, "a", f.storeHandler()); err != nil {
			return false, err
		}
	}
	if err := f.waitReady(); err != nil {
		return false, err
	}
	var broken, complete, failed atomic.Int64
	end := time.Now().Add(streamTime)
	var clients sync.WaitGroup
	for n := range streamClients {
		clients.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				id := fmt.Sprintf("s%02d-%03d", n, i)
				switch callStream(f, f.gateways[(n+i)%len(f.gateways)], id) {
				case streamComplete:
					complete.Add(1)
				case streamBroken:
					broken.Add(1)
				default:
					failed.Add(1)
				}
			}
		})
	}
	if trouble {
		for round := range streamRounds {
			time.Sleep(time.Second)
			grey.Store(servers[round])
			f.rec.printf("server %s fails 0.4 of its requests with status 500 from now on, for 5 s", servers[round].name)
			time.Sleep(2 * time.Second)
			servers[(round+1)%streamServers].crash()
			time.Sleep(3 * time.Second)
			grey.Store(nil)
			time.Sleep(1500 * time.Millisecond)
			if err := servers[(round+1)%streamServers].start(); err != nil {
				return false, err
			}
		}
	}
	clients.Wait()
	f.rec.printf("streams: %d complete, %d failed as the protocol allows, %d ended as complete without being so",
		complete.Load(), failed.Load(), broken.Load())
	if complete.Load() == 0 {
		return false, fmt.Errorf("no stream was served")
	}
	return broken.Load() == 0, nil
}

func eventText(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s#%d\n\n", n, id, n) }

// serveStream runs a stream. A grey server answers 0.4 of its requests with status 500.
func serveStream(f *fleet, s *server, c *serverConn, r *serverRequest, isGrey bool) bool {
	if !s.take() {
		c.notRun(r)
		return true
	}
	defer s.release()
	f.rec.printf("run %s at %s after event %d", r.ID, s.name, r.After)
	header := map[string]string{"Radishshelf-Attempt-Id": r.ID, "Radishshelf-Server-Seal": s.seal(r)}
	if isGrey && rand.Float64() < 0.4 {
		f.rec.printf("run %s at %s fails: 500", r.ID, s.name)
		c.send(500, header, "internal error\n")
		return true
	}
	header["Content-Type"], header["Transfer-Encoding"] = "text/event-stream", "chunked"
	_, _ = io.WriteString(c, encodeHead(200, header)+"\r\n") // a failed write shows as a closed connection
	for n := r.After + 1; n <= streamEvents; n++ {
		select {
		case <-r.closed:
			return false
		case <-time.After(streamPause):
		}
		text := eventText(r.ID, n)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text); err != nil {
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

type streamResult int

const (
	streamComplete streamResult = iota
	streamFailed
	streamBroken
)

// callStream reads a stream. A success that ends as complete must hold every event once, in order.
func callStream(f *fleet, g *gatewayProcess, id string) streamResult {
	r := exchange("POST", g.front(), "/tell/"+id, id, []byte(id), streamDeadline)
	if r.status != 200 || !r.complete {
		f.rec.printf("answer %s: status %d, complete %v", id, r.status, r.complete)
		return streamFailed
	}
	var want strings.Builder
	for n := 1; n <= streamEvents; n++ {
		want.WriteString(eventText(id, n))
	}
	if string(r.body) == want.String() {
		return streamComplete
	}
	f.rec.printf("answer %s: status 200 with seal %s ended as complete, with %d of %d events; its end is %q",
		id, r.seal, strings.Count(string(r.body), "data: "), streamEvents, r.body[max(0, len(r.body)-60):])
	return streamBroken
}
