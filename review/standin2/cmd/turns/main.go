// Command turns shows that two gateways that are stopped and started in turn act for the duties in the order A, B, A inside
// lease_ms.
package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	s2 "github.com/radishshelf/radishshelf/review/standin2"
)

const (
	gateways     = 2
	leaseTime    = 3 * time.Second        // lease_ms
	rollGap      = 2 * time.Second        // gap_s of roll_term in the site file
	restartDelay = 100 * time.Millisecond // from the end of a process to its next start
	length       = 75 * time.Second
	rolls        = 4
	rest         = 12 * time.Second // between two rolls
)

func main() { s2.Main(run) }

func run(l *s2.Lab) (int, error) {
	l.Store.Put("op", "config", s2.Config(1, nil))
	if err := l.AddUpstreams(3, s2.Plain, func(int, *s2.Upstream) {}); err != nil {
		return 0, err
	}
	calls := make(chan s2.DutyCall, 1000)
	l.Cloud.OnCall = func(c s2.DutyCall) {
		l.Record.Line("%s calls for %s with token %d: %s", c.Holder, c.Subject, c.Token, c.Body)
		calls <- c
	}
	if err := l.AddGateways(gateways, nil); err != nil {
		return 0, err
	}
	until := time.Now().Add(length)
	next, rolled := time.Now().Add(6*time.Second), 0
	var restarts sync.WaitGroup
	for time.Now().Before(until) {
		select {
		case c := <-calls:
			if l.Trouble && rolled < rolls && time.Now().After(next) {
				rolled++
				next = time.Now().Add(rest)
				restarts.Go(func() { roll(l, c.Holder) })
			}
		case <-time.After(100 * time.Millisecond):
		}
	}
	restarts.Wait()
	if l.Trouble && rolled == 0 {
		return 0, fmt.Errorf("no call for a duty arrived")
	}
	return judge(l), nil
}

// roll stops and starts all gateways in turn, first the one that acted last.
func roll(l *s2.Lab, leader string) {
	order := []*s2.Gateway{}
	for _, g := range l.Gateways {
		if g.Name == leader {
			order = append([]*s2.Gateway{g}, order...)
		} else {
			order = append(order, g)
		}
	}
	var wg sync.WaitGroup
	for _, g := range order {
		wg.Go(func() {
			exited := g.Exited()
			g.Signal(syscall.SIGTERM)
			<-exited
			time.Sleep(restartDelay)
			if err := g.Start(); err != nil {
				l.Record.Line("%s does not start: %v", g.Name, err)
			}
		})
		time.Sleep(rollGap)
	}
	wg.Wait()
}

// judge looks for holders that act in the order A, B, A inside leaseTime, for each subject.
func judge(l *s2.Lab) int {
	bySubject := map[string][]s2.DutyCall{}
	for _, c := range l.Cloud.Calls() {
		bySubject[c.Subject] = append(bySubject[c.Subject], c)
	}
	code := s2.Held
	for subject, calls := range bySubject {
		lastOf := map[string]time.Time{}
		previous, changedAt := "", time.Time{}
		for _, c := range calls {
			if c.Holder != previous {
				// The holder changes; if this one has acted before, another one has acted since.
				if last, ok := lastOf[c.Holder]; ok {
					took := c.At.Sub(last)
					l.Record.Line("%s: %s, then %s, then %s again, %d ms after its last call (B first acted %d ms ago)",
						subject, c.Holder, previous, c.Holder, took.Milliseconds(), c.At.Sub(changedAt).Milliseconds())
					if took < leaseTime {
						code = s2.Broken
					}
				}
				previous, changedAt = c.Holder, c.At
			}
			lastOf[c.Holder] = c.At
		}
	}
	return code
}
