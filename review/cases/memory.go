package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["memory"] = playMemory }

const (
	// memoryLimit is what a gateway may use; the platform kills a process that exceeds it.
	memoryLimit    = 354 << 20
	uploadBytes    = 30 << 20
	uploadWork     = 1500 * time.Millisecond
	uploadDeadline = 5 * time.Second
	// usualUploads clients send at a time as a rule, and burstFactor times as many in a burst.
	usualUploads = 8
	burstFactor  = 3
	bursts       = 4
	burstTime    = 5 * time.Second
	burstPause   = 5 * time.Second
	restartDelay = 500 * time.Millisecond
)

const uploadConfig = `{"version":1,"routes":[{"name":"upload","host":"api.example","path_prefix":"/upload/","kind":"idempotent",
"service":"desk","max_attempts":2,"timeout_ms":5000,"target_latency_ms":1000,"priority":2}],
"services":[{"name":"desk","health_path":"/healthz","max_conns":96}],
"limits":{"max_header_bytes":16384,"max_body_bytes":33554432,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"north","api_keys":["key-of-north"]}]}`

// playMemory: clients send bodies that the configured limits allow, a few at a time, and in bursts burstFactor times as many.
// The platform kills gateways that exceed their memory, and starts them again.
func playMemory(f *fleet, trouble bool) (bool, error) {
	for i := range 3 {
		s := f.newServer(fmt.Sprintf("desk-%d", i), "desk", "a", 16)
		s.serve = func(c *serverConn, r *serverRequest) bool {
			time.Sleep(uploadWork)
			c.send(200, map[string]string{"Radishshelf-Attempt-Id": r.ID, "Radishshelf-Server-Seal": s.seal(r)}, fmt.Sprint(len(r.Body)))
			return true
		}
		if err := s.start(); err != nil {
			return false, err
		}
	}
	f.putConfig(uploadConfig)
	for _, name := range []string{"edge-1", "edge-2"} {
		if _, err := f.startGateway(name, "a", f.storeHandler()); err != nil {
			return false, err
		}
	}
	if err := f.waitReady(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var watching sync.WaitGroup
	ends := make([]atomic.Int64, len(f.gateways))
	peaks := make([]atomic.Int64, len(f.gateways))
	for i, g := range f.gateways {
		watching.Go(func() { g.enforceMemory(stop, &ends[i], &peaks[i]) })
	}
	var served atomic.Int64
	body := bytes.Repeat([]byte("0123456789abcdef"), uploadBytes/16)
	factor := 1
	if trouble {
		factor = burstFactor
	}
	for round := range bursts {
		time.Sleep(burstPause)
		f.rec.printf("%d clients upload at a time for %v", usualUploads*factor, burstTime)
		end := time.Now().Add(burstTime)
		var clients sync.WaitGroup
		for n := range usualUploads * factor {
			clients.Go(func() {
				for i := 0; time.Now().Before(end); i++ {
					id := fmt.Sprintf("u%d-%02d-%03d", round, n, i)
					r := exchange(http.MethodPost, f.gateways[n%2].front(), "/upload/"+id, id, body, uploadDeadline)
					f.rec.printf("answer %s: %d complete=%v %s", id, r.status, r.complete, r.body)
					if r.status == http.StatusOK && string(r.body) == fmt.Sprint(uploadBytes) {
						served.Add(1)
					}
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
		clients.Wait()
	}
	close(stop)
	watching.Wait()
	machines := 0
	for i, g := range f.gateways {
		f.rec.printf("%s exceeded its memory %d times; most used: %d MiB", g.name, ends[i].Load(), peaks[i].Load()>>20)
		if ends[i].Load() >= 3 {
			machines++
		}
	}
	f.rec.printf("%d uploads served", served.Load())
	if served.Load() == 0 {
		return false, fmt.Errorf("no upload was served")
	}
	return machines < 2, nil
}

// enforceMemory kills the gateway when it exceeds its memory, and starts it again, as the platform does.
func (g *gatewayProcess) enforceMemory(stop chan struct{}, ends, peak *atomic.Int64) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		used := residentBytes(g.cmd.Process.Pid)
		peak.Store(max(peak.Load(), used))
		if used <= memoryLimit {
			continue
		}
		g.f.rec.printf("%s uses %d MiB and is killed", g.name, used>>20)
		ends.Add(1)
		_ = g.cmd.Process.Signal(syscall.SIGKILL)
		<-g.exited
		time.Sleep(restartDelay)
		if err := g.start(); err != nil {
			g.f.rec.printf("%s: %v", g.name, err)
			return
		}
	}
}

// residentBytes returns the memory that a process uses for itself.
func residentBytes(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(value)[0], 10, 64) // the kernel writes a number
			return kb << 10
		}
	}
	return 0
}
