// Command memory shows that batch jobs inside the limit on bodies make gateways exceed the memory of their machines. The machine
// of each gateway is a stand-in that kills a process above its memory, and starts it again, as the platform's machines do.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	s2 "github.com/radishshelf/radishshelf/review/standin2"
)

const (
	machineMB = 164 // the `edge` machines of the site
	gateways  = 3
	trainers  = 3 // as many kinds of rollout as the site has
	itemBytes = 8000
	largeJob  = 2900 // items; their body is below max_body_bytes
	smallJob  = 50
	length    = 70 * time.Second
	stepEvery = 4 * time.Second
	attempts  = 2 // the first and the sheet's one retry
	// allowedEnds is the number of times from which the processes of a machine have ended too often, and allowedMachines how
	// many such machines there must be.
	allowedEnds, allowedMachines = 3, 2
)

func main() { s2.Main(run) }

func run(l *s2.Lab) (int, error) {
	l.Store.Put("op", "config", s2.Config(1, nil))
	if err := l.AddUpstreams(9, s2.Engines, func(_ int, u *s2.Upstream) {
		u.Slots, u.Gap, u.Events, u.EventBytes, u.Models = 16, 5*time.Millisecond, 10, 100, map[string]int64{s2.Model: 1}
	}); err != nil {
		return 0, err
	}
	if err := l.AddGateways(gateways, func(_ int, m *s2.Machine) { m.MemoryMB = machineMB }); err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	until := time.Now().Add(length)
	ends := make([]int, gateways)
	peaks := make([]int, gateways)
	var wg sync.WaitGroup
	for i, g := range l.Gateways {
		wg.Go(func() { watch(l, g, until, &ends[i], &peaks[i]) })
	}
	for t := range trainers {
		wg.Go(func() { train(l, t, until) })
	}
	wg.Wait()
	machines := 0
	for i, g := range l.Gateways {
		l.Record.Line("%s: %d MB at most, of %d MB; ended %d times for memory", g.Name, peaks[i], machineMB, ends[i])
		if ends[i] >= allowedEnds {
			machines++
		}
	}
	if machines >= allowedMachines {
		return s2.Broken, nil
	}
	return s2.Held, nil
}

// watch kills the process of a machine whenever it holds more private memory than the machine has, and starts it again.
func watch(l *s2.Lab, g *s2.Gateway, until time.Time, ends, peak *int) {
	for ; time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		held := g.PrivateMB()
		*peak = max(*peak, held)
		if held <= machineMB {
			continue
		}
		l.Record.Line("%s holds %d MB, its machine has %d MB", g.Name, held, machineMB)
		g.Signal(syscall.SIGKILL)
		<-g.Exited()
		*ends++
		time.Sleep(500 * time.Millisecond)
		if err := g.Start(); err != nil {
			l.Record.Line("%s does not start: %v", g.Name, err)
			return
		}
	}
}

// train submits a step every few seconds: as one job, or as many small ones without the trouble. A submission without an
// answer or with a refusal comes again at the next gateway that is ready.
func train(l *s2.Lab, trainer int, until time.Time) {
	for step := 0; time.Now().Add(2 * stepEvery).Before(until); step++ {
		next := time.Now().Add(stepEvery)
		size := largeJob
		if !l.Trouble {
			size = smallJob
		}
		for part := 0; part*size < largeJob; part++ {
			id := fmt.Sprintf("job-%d-%d-%d", trainer, step, part)
			body := jobBody(id, step, size)
			for attempt := range attempts {
				g := l.Gateways[(trainer+attempt)%gateways]
				a := s2.Call(g.Front, http.MethodPost, s2.RolloutPrefix+id, id, body, nil, 10*time.Second)
				if part == 0 || a.Status != http.StatusAccepted {
					l.Record.Line("%s, %d items, %d bytes, at %s: %d %.100s %v", id, size, len(body), g.Name, a.Status, a.Body, a.Err)
				}
				if a.Status == http.StatusAccepted {
					break
				}
				time.Sleep(max(a.RetryAfter, 200*time.Millisecond))
			}
		}
		time.Sleep(time.Until(next))
		for part := 0; part*size < largeJob; part++ { // the trainer ends its step
			id := fmt.Sprintf("job-%d-%d-%d", trainer, step, part)
			s2.Call(l.Gateways[trainer].Front, http.MethodDelete, "/-/lots/"+id, "", nil, nil, 3*time.Second)
		}
	}
}

func jobBody(id string, step, n int) []byte {
	list := make([]s2.Item, 0, n)
	for i := range n {
		list = append(list, s2.Item{ID: fmt.Sprintf("%s-%d", id, i), Group: fmt.Sprintf("group-%d", i/8), Body: make([]byte, itemBytes)})
	}
	return s2.JobBody(step, 1, n/10+1, list)
}
