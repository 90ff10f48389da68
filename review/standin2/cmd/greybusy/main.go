// Command greybusy shows that a request that may run once is answered with a promise that it has not run, although it has: the
// 503 of a server that does not bear Radishshelf-Not-Run is passed on.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	s2 "github.com/radishshelf/radishshelf/review/standin2"
)

const (
	length = 30 * time.Second
	// failShare is the part of its requests that the grey server fails: each failEvery-th, x of srv_grey at most.
	failEvery = 3
	pause     = 40 * time.Millisecond
	callers   = 3
)

func main() { s2.Main(run) }

func run(l *s2.Lab) (int, error) {
	l.Store.Put("op", "config", s2.Config(1, nil))
	var mu sync.Mutex
	ran := map[string]int{}
	failures := 0
	if err := l.AddUpstreams(3, s2.Plain, func(i int, u *s2.Upstream) {
		arrivals := 0
		u.OnArrival = func(a s2.Arrival, w http.ResponseWriter, _ *http.Request) bool {
			mu.Lock()
			ran[a.ID]++
			arrivals++
			fails := l.Trouble && i == 0 && arrivals%failEvery == 0
			if fails {
				failures++
			}
			mu.Unlock()
			l.Record.Line("%s runs %s", a.Upstream, a.ID)
			if !fails {
				return false
			}
			time.Sleep(u.Work)
			w.Header().Set("Radishshelf-Server-Seal", "seal."+a.Upstream+"."+a.ID)
			w.WriteHeader(http.StatusServiceUnavailable)
			l.Record.Line("%s has run %s and answers 503 without Radishshelf-Not-Run", a.Upstream, a.ID)
			return true
		}
	}); err != nil {
		return 0, err
	}
	if err := l.AddGateways(3, nil); err != nil {
		return 0, err
	}
	until := time.Now().Add(length)
	broken, sent := 0, 0
	var wg sync.WaitGroup
	for c := range callers {
		wg.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				id := fmt.Sprintf("bill-%d-%d", c, n)
				g := l.Gateways[n%len(l.Gateways)]
				a := s2.Call(g.Front, http.MethodPost, s2.BillPrefix+id, id, []byte("one charter"), map[string]string{"Radishshelf-Deadline-Ms": "3000"}, 3*time.Second)
				mu.Lock()
				sent++
				promise := a.Status == 429 || a.Status == 503 || a.Status == 408 || a.Status == 421
				l.Record.Line("%s at %s: %d, ran %d times", id, g.Name, a.Status, ran[id])
				if promise && ran[id] > 0 {
					broken++
					l.Record.Line("BROKEN: %s is answered %d by %s and has run", id, a.Status, g.Name)
				}
				mu.Unlock()
				time.Sleep(pause)
			}
		})
	}
	wg.Wait()
	l.Record.Line("%d requests sent, %d failed by the grey server, %d answered with a promise although they had run", sent, failures, broken)
	switch {
	case broken > 0:
		return s2.Broken, nil
	case sent == 0 || l.Trouble && failures == 0:
		return 0, fmt.Errorf("no request was failed")
	}
	return s2.Held, nil
}
