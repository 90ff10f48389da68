// Command unreadable shows that a completed batch job of a large step cannot be read again from another region than the store's
// once the gateway that had it in memory was killed.
package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"

	s2 "github.com/radishshelf/radishshelf/review/standin2"
)

const (
	items       = 2048 // samples of a step, by the users' letter 1
	groupSize   = 8
	events      = 25
	eventBytes  = 600
	regionDelay = 20 * time.Millisecond
	settle      = 10 * time.Second
	readAgain   = 30 * time.Second
	// readElsewhere bounds the reads at each other node.
	readElsewhere = 6 * time.Second
	job           = "job-one"
)

func main() { s2.Main(run) }

func run(l *s2.Lab) (int, error) {
	l.Store.Put("op", "config", s2.Config(1, nil))
	if err := l.AddUpstreams(9, s2.Engines, func(_ int, u *s2.Upstream) {
		u.Slots, u.Gap, u.Events, u.EventBytes, u.Models = 16, 10*time.Millisecond, events, eventBytes, map[string]int64{s2.Model: 1}
	}); err != nil {
		return 0, err
	}
	// The store is in the first region; the machines of the others reach it over the link between regions.
	if err := l.AddGateways(3, func(i int, m *s2.Machine) {
		if i > 0 {
			m.StoreDelay = regionDelay
		}
	}); err != nil {
		return 0, err
	}
	time.Sleep(3 * time.Second)
	home := l.Gateways[1]
	var list []s2.Item
	for i := range items {
		list = append(list, s2.Item{ID: fmt.Sprintf("item-%04d", i), Group: fmt.Sprintf("group-%03d", i/groupSize), Body: make([]byte, 600)})
	}
	a := s2.Call(home.Front, http.MethodPost, s2.RolloutPrefix+job, job, s2.JobBody(0, 1, items/groupSize, list), nil, 12*time.Second)
	l.Record.Line("submitted %d items at %s: %d %v", items, home.Name, a.Status, a.Err)
	if a.Status != http.StatusAccepted {
		return 0, fmt.Errorf("the job was not accepted")
	}
	read, bytes := readAll(l, home, time.Now().Add(45*time.Second))
	l.Record.Line("read %d results with %d bytes at %s", read, bytes, home.Name)
	if read != items {
		return 0, fmt.Errorf("only %d results were read", read)
	}
	if l.Trouble {
		home.Signal(syscall.SIGKILL)
		<-home.Exited()
		time.Sleep(500 * time.Millisecond)
		if err := home.Start(); err != nil {
			return 0, err
		}
		if !home.WaitReady(10 * time.Second) {
			return 0, fmt.Errorf("%s is not ready again", home.Name)
		}
		l.Record.Line("%s is ready again", home.Name)
	}
	time.Sleep(settle)
	read, _ = readAll(l, home, time.Now().Add(readAgain))
	l.Record.Line("read %d of %d results again at %s", read, items, home.Name)
	// For the record only: what the nodes of the other regions answer, the first of them beside the store.
	for _, g := range []*s2.Gateway{l.Gateways[0], l.Gateways[2]} {
		n, _ := readAll(l, g, time.Now().Add(readElsewhere))
		l.Record.Line("read %d of %d results at %s", n, items, g.Name)
	}
	if read == items {
		return s2.Held, nil
	}
	return s2.Broken, nil
}

// readAll reads the results from the start until all were read or the time is over, again after each failure.
func readAll(l *s2.Lab, g *s2.Gateway, until time.Time) (read, bytes int) {
	answers := map[int]int{}
	for read < items && time.Now().Before(until) {
		started := time.Now()
		p, a := s2.Read(g.Front, job, read, time.Second)
		answers[a.Status]++
		if a.Status != http.StatusOK {
			l.Record.Line("read from position %d at %s: %d %.80s %v after %d ms", read, g.Name, a.Status, a.Body, a.Err, time.Since(started).Milliseconds())
			time.Sleep(max(a.RetryAfter, 100*time.Millisecond))
			continue
		}
		for _, r := range p.Results {
			bytes += len(r.Output)
		}
		read = p.Next
		if len(p.Results) == 0 {
			time.Sleep(100 * time.Millisecond)
		}
	}
	l.Record.Line("answers by status: %v", answers)
	return read, bytes
}
