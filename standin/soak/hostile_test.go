//go:build linux

package soak

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/platform/platformtest"
)

// Limits of the process that a crowd meets: memory, descriptors, and those of them that are kept for files. Memory and
// descriptors are read from /proc, which is why these tests run on Linux only.
const (
	crowdMemoryMB = 64
	crowdMaxFDs   = 600
	fileFDs       = 200
	metricsPort   = "9464"
	// ordinaryTimeout bounds the ordinary request after a crowd; it only ends a test whose process hangs.
	ordinaryTimeout = 20 * time.Second
	// ordinaryRetry is the time after which the ordinary client repeats a refused request.
	ordinaryRetry = 500 * time.Millisecond
)

// socketCount returns the number of sockets and pipes that the process has open, 0 if it has exited.
func (p *process) socketCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	dir := fmt.Sprintf("/proc/%d/fd/", p.cmd.Process.Pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return 0
	}
	count := 0
	for _, entry := range entries {
		target, err := os.Readlink(dir + entry.Name())
		if err == nil && (strings.HasPrefix(target, "socket:") || strings.HasPrefix(target, "pipe:")) {
			count++
		}
	}
	return count
}

// watchSockets samples the sockets of the process until stop is called, which returns the largest number.
func (p *process) watchSockets() (stop func() int) {
	end, most := make(chan struct{}), make(chan int)
	go func() {
		largest := 0
		for {
			select {
			case <-end:
				most <- max(largest, p.socketCount())
				return
			case <-time.After(20 * time.Millisecond):
				largest = max(largest, p.socketCount())
			}
		}
	}()
	return func() int {
		close(end)
		return <-most
	}
}

// crowdConfig returns the configuration of the tests, in which heads may be large and slow: what a crowd does is within the
// limits wherever it has an end.
func crowdConfig() []byte {
	config := bytes.ReplaceAll(platformtest.Config(2), []byte(`"max_header_bytes":16384`), fmt.Appendf(nil, `"max_header_bytes":%d`, headLimit))
	return bytes.ReplaceAll(config, []byte(`"header_timeout_ms":3000`), []byte(`"header_timeout_ms":60000`))
}

// The tests guard against clients that make a process exceed its memory or descriptors, end, or stop to answer. Each test has
// a crowd of one kind, which stays connected while an ordinary request, a readiness check and a reading of the metrics are
// made.

func TestHostileClientsThatSendNothing(t *testing.T) { testCrowd(t, 9810, sendNothing) }

func TestHostileClientsWithHeadOverTheLimit(t *testing.T) { testCrowd(t, 9811, sendHeadOverTheLimit) }

func TestHostileClientsWithEndlessHeaderLine(t *testing.T) { testCrowd(t, 9812, sendEndlessLine) }

func TestHostileClientsWithUnfinishedShortLines(t *testing.T) {
	testCrowd(t, 9813, sendUnfinishedShortLines)
}

func TestHostileClientsWithEmptyLines(t *testing.T) { testCrowd(t, 9814, sendEmptyLines) }

func TestHostileClientsWithEmptyLinesAfterRequest(t *testing.T) {
	testCrowd(t, 9815, sendEmptyLinesAfterRequest)
}

func TestHostileClientsThatSendByteByByte(t *testing.T) { testCrowd(t, 9816, sendByteByByte) }

func TestHostileClientsThatReadNoAnswers(t *testing.T) { testCrowd(t, 9817, sendWithoutReading) }

func TestHostileClientsWithSlowBody(t *testing.T) { testCrowd(t, 9818, sendSlowBody) }

func TestHostileClientsWithLongChunkExtensions(t *testing.T) {
	testCrowd(t, 9819, sendLongChunkExtensions)
}

// The ports of readiness, peers and metrics are reachable by the same clients.
func TestHostileClientsAtTheInnerPorts(t *testing.T) {
	testCrowdAt(t, 9820, []string{fmt.Sprint(readyPort), fmt.Sprint(firstPort), metricsPort}, sendUnfinishedShortLines)
}

func testCrowd(t *testing.T, seed uint64, send misbehaviour) {
	testCrowdAt(t, seed, []string{fmt.Sprint(frontPort)}, send)
}

// testCrowdAt tests a process beside a crowd whose clients are spread over ports.
func testCrowdAt(t *testing.T, seed uint64, ports []string, send misbehaviour) {
	s, p := startLimitedGateway(t, seed, crowdMemoryMB, crowdMaxFDs)
	s.store.Put(platformtest.OperatorTable, "config", crowdConfig())
	for _, id := range []string{"desk-0", "desk-1"} {
		s.mustAddUpstream(t, id, platformtest.PlainService).Slots = 200
	}
	if err := s.waitReady(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Second) // until the process has read the configuration
	for client := range crowdSize {
		s.checker.recordSend(fmt.Sprint("crowd-", client), false)
		for i := range unreadRequests {
			s.checker.recordSend(fmt.Sprintf("crowd-%d-%d", client, i), false)
		}
	}
	stopWatch := p.watchSockets()
	var addresses []string
	for _, port := range ports {
		addresses = append(addresses, net.JoinHostPort(p.settings.IP, port))
	}
	c := startCrowd(t, addresses, send)
	defer c.close()
	checkOrdinary(t, s, p)
	most := stopWatch()
	peak := p.peakMemory(t)
	t.Logf("peak memory %d MiB of %d, at most %d sockets of %d", peak>>20, crowdMemoryMB, most, crowdMaxFDs-fileFDs)
	if peak > crowdMemoryMB<<20 {
		t.Errorf("the process used %d MiB of %d", peak>>20, crowdMemoryMB)
	}
	if most > crowdMaxFDs-fileFDs {
		t.Errorf("the process had %d sockets of %d", most, crowdMaxFDs-fileFDs)
	}
	if violation := s.history.firstViolation(); violation != "" {
		t.Error(violation)
	}
}

// checkOrdinary checks that one ordinary request is served, and that the process is ready and gives its metrics. Like any
// client the ordinary one repeats what was refused, until ordinaryTimeout.
func checkOrdinary(t *testing.T, s *Soak, p *process) {
	t.Helper()
	s.checker.recordSend("ordinary", false)
	deadline := time.Now().Add(ordinaryTimeout)
	caller := platformtest.Caller{Timeout: ordinaryTimeout}
	reply := caller.Do(http.MethodPost, p.address(), platformtest.QuotePath+"ordinary", "ordinary", []byte("x"))
	for reply.Status != http.StatusOK && time.Now().Before(deadline) {
		time.Sleep(ordinaryRetry)
		reply = caller.Do(http.MethodPost, p.address(), platformtest.QuotePath+"ordinary", "ordinary", []byte("x"))
	}
	if reply.Status != http.StatusOK || string(reply.Body) != platformtest.PlainBody("ordinary", "x") {
		t.Errorf("an ordinary request got status %d, body %q", reply.Status, reply.Body)
	}
	for port, path := range map[string]string{fmt.Sprint(readyPort): "/-/readyz", metricsPort: "/metrics"} {
		if reply := caller.Do(http.MethodGet, net.JoinHostPort(p.settings.IP, port), path, "", nil); reply.Status != http.StatusOK {
			t.Errorf("%s got status %d", path, reply.Status)
		}
	}
}
