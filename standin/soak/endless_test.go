package soak

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/platform/platformtest"
	"github.com/radishshelf/radishshelf/standin/rows"
)

// startGateway builds the gateway and starts it as a process beside stand-ins of the platform, with the given memory. The
// seed selects its address.
func startGateway(t *testing.T, seed uint64, memoryMB int) (*Soak, *process) {
	t.Helper()
	return startLimitedGateway(t, seed, memoryMB, 0)
}

// startLimitedGateway is like startGateway with a limit on the descriptors of the process; 0 names none.
func startLimitedGateway(t *testing.T, seed uint64, memoryMB, maxFDs int) (*Soak, *process) {
	t.Helper()
	dir := t.TempDir()
	binary := filepath.Join(dir, "gateway")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/radishshelf-gateway").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	h := newHistory()
	s := &Soak{opts: Options{Binary: binary, Dir: dir, Seed: seed}, history: h, checker: newChecker(h), store: rows.New()}
	t.Cleanup(s.close)
	s.store.Put(platformtest.OperatorTable, "config", platformtest.Config(1))
	storeAddress, err := s.startServer(platformtest.NewStoreHandler(s.store))
	if err != nil {
		t.Fatal(err)
	}
	dutyAddress, err := s.startServer(platformtest.NewDutyHandler(s.checker.recordUsageReport))
	if err != nil {
		t.Fatal(err)
	}
	subnet, guard, err := claimSubnet(seed)
	if err != nil {
		t.Fatal(err)
	}
	s.subnetGuard = guard
	p, err := newProcess(s.opts, h, subnet, 0, storeAddress, dutyAddress)
	if err != nil {
		t.Fatal(err)
	}
	p.settings.MemoryMB, p.settings.MaxFDs = memoryMB, maxFDs
	s.processes = append(s.processes, p)
	if err := p.start(); err != nil {
		t.Fatal(err)
	}
	return s, p
}

func (s *Soak) mustAddUpstream(t *testing.T, id, service string) *upstream {
	t.Helper()
	u, err := s.addUpstream(id, service)
	if err != nil {
		t.Fatal(err)
	}
	return u
}

// peakMemory returns the largest resident size that a process has had, in bytes.
func (p *process) peakMemory(t *testing.T) int64 {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		t.Fatal("the process has exited")
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(status)) {
		if size, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.ParseInt(strings.Fields(size)[0], 10, 64)
			if err != nil {
				t.Fatal(err)
			}
			return kb << 10
		}
	}
	t.Fatal("the system does not report the peak memory")
	return 0
}

// Guards against upstreams whose responses never end, in the header or the body, to many requests at once: requests of
// callers, score calls and items. The process must stay within the memory of its host, and the requests that sound
// upstreams can serve must be served.
func TestEndlessResponsesFitTheMemoryOfAHost(t *testing.T) {
	const memoryMB = 112
	s, p := startGateway(t, 9801, memoryMB)
	faults := map[string]platformtest.Fault{
		"desk-0": platformtest.EndlessBody, "desk-1": platformtest.EndlessHeader, "desk-2": platformtest.NoFault,
		"engine-0": platformtest.EndlessBody, "engine-1": platformtest.EndlessHeader, "engine-2": platformtest.NoFault,
	}
	for id, fault := range faults {
		service := platformtest.EngineService
		if strings.HasPrefix(id, "desk") {
			service = platformtest.PlainService
		}
		u := s.mustAddUpstream(t, id, service)
		u.Slots = 200
		u.SetFault(fault)
	}
	if err := s.waitReady(); err != nil {
		t.Fatal(err)
	}
	var callers sync.WaitGroup
	var served, failed atomic.Int64
	stop := time.Now().Add(8 * time.Second)
	for n := range 60 {
		callers.Go(func() {
			for i := 0; time.Now().Before(stop); i++ {
				id := fmt.Sprintf("call-%d-%d", n, i)
				s.checker.recordSend(id, false)
				reply := platformtest.Caller{Timeout: callTimeout}.Do(http.MethodPost, p.address(), platformtest.QuotePath+id, id, []byte("x"))
				if reply.Status == http.StatusOK && bytes.Equal(reply.Body, []byte(platformtest.PlainBody(id, "x"))) {
					served.Add(1)
				} else {
					failed.Add(1)
				}
			}
		})
	}
	var items []string
	for i := range 64 {
		items = append(items, fmt.Sprint("item-", i))
	}
	s.checker.recordJobSend("job", items, 1)
	platformtest.Caller{Timeout: callTimeout}.Do(http.MethodPost, p.address(), platformtest.RolloutPath+"job", "job", platformtest.BatchBody(0, 1, items))
	for time.Now().Before(stop) {
		time.Sleep(100 * time.Millisecond)
		if peak := p.peakMemory(t); peak > memoryMB<<20 {
			t.Fatalf("the process used %d MiB of %d", peak>>20, memoryMB)
		}
	}
	callers.Wait()
	t.Logf("%d requests served, %d failed, %d MiB used at most", served.Load(), failed.Load(), p.peakMemory(t)>>20)
	if total := served.Load() + failed.Load(); served.Load()*10 < total*9 {
		t.Errorf("%d of %d requests served although an upstream is sound", served.Load(), total)
	}
}
