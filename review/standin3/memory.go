package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// memoryLimit is memory_mb, in KiB, and restartDelay the time until the platform starts a process again.
	memoryLimit  = 164 << 10
	restartDelay = 500 * time.Millisecond
	// manyItems are as many short items as a body of maxBodyBytes, which is max_body_bytes, holds; fewItems are a usual step.
	manyItems, fewItems  = 480_000, 200
	maxBodyBytes         = 33_554_432
	memoryJobs           = 3
	jobPause             = 3 * time.Second
	faultMachines, often = 2, 3
)

// playMemory hands over batch jobs of many short items, each to one machine and, without an answer, to the next one. The
// platform kills a process that exceeds its memory, and starts it again.
func playMemory(l *lab, trouble bool) (broken bool, err error) {
	l.addTrainingFleet(engineSlots)
	if _, err := l.addGateways(2); err != nil {
		return false, err
	}
	var mu sync.Mutex
	kills := map[string]int{}
	for _, p := range l.gateways {
		go func() {
			for ; ; time.Sleep(10 * time.Millisecond) {
				if kib := p.memory(); kib > memoryLimit {
					l.record("%s uses %d KiB of %d: the platform kills it", p.settings.Name, kib, memoryLimit)
					p.kill()
					mu.Lock()
					kills[p.settings.Name]++
					mu.Unlock()
					time.Sleep(restartDelay)
					p.start()
				}
			}
		}()
	}
	items := fewItems
	if trouble {
		items = manyItems
	}
	for number := range memoryJobs {
		body := jobBody(number, items)
		id := fmt.Sprintf("job-%d", number)
		for _, p := range l.gateways {
			t := &trainer{lab: l, front: p.front()}
			status, answer := t.call(http.MethodPost, rolloutPath+"job", id, 0, body)
			l.record("%s of %d items in %d bytes at %s: %d %s", id, bytes.Count(body, []byte(`"id"`)), len(body), p.settings.Name, status, answer)
			if status != 0 && status < http.StatusInternalServerError {
				break
			}
			time.Sleep(time.Second)
		}
		if !trouble {
			(&trainer{lab: l, front: l.gateways[0].front()}).call(http.MethodDelete, "/-/lots/"+id, "", 0, nil)
		}
		time.Sleep(jobPause)
	}
	mu.Lock()
	defer mu.Unlock()
	machines := 0
	for name, n := range kills {
		l.record("%s exceeded its memory %d times", name, n)
		if n >= often {
			machines++
		}
	}
	l.record("%d machines of %d ended %d times or more", machines, len(l.gateways), often)
	return machines >= faultMachines, nil
}

// jobBody returns a batch job of this many items, or as many as max_body_bytes allows.
func jobBody(number, items int) []byte {
	var b bytes.Buffer
	b.Grow(maxBodyBytes)
	b.WriteString(`{"requests":[`)
	for i := 0; i < items && b.Len() < maxBodyBytes-200; i++ {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"id":"%x-%x","path":"/rollout/a","headers":{},"tokens":66,"body":"MQ=="}`, number, i)
	}
	b.WriteString("]}")
	return b.Bytes()
}

// memory returns the resident memory of the process in KiB, 0 if there is none.
func (p *process) memory() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kib, _ := strconv.Atoi(strings.Fields(rest)[0]) // 0 if it is no number
			return kib
		}
	}
	return 0
}
