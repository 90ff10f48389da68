// Command forgotten shows that a batch job that is still open, with an item that is not listed, is deleted with its results some
// time after status_s.
package main

import (
	"fmt"
	"net/http"
	"time"

	s2 "github.com/radishshelf/radishshelf/review/standin2"
)

const (
	// statusS is status_s. The sheets have 120; the script may not last that long.
	statusS = 60
	items   = 40
	job     = "job-open"
	// length is from the submission to the last read, with the trouble and without it.
	length, calmLength = 108 * time.Second, 58 * time.Second
	settle             = time.Second // settle_ms
	readEvery          = time.Second
)

func main() { s2.Main(run) }

func run(l *s2.Lab) (int, error) {
	l.Store.Put("op", "config", s2.Config(1, nil))
	if err := l.AddUpstreams(3, s2.Engines, func(_ int, u *s2.Upstream) {
		u.Slots, u.Gap, u.Events, u.EventBytes, u.Models = 16, 20*time.Millisecond, 12, 100, map[string]int64{s2.Model: 1}
	}); err != nil {
		return 0, err
	}
	// The service of the reward calls has one server.
	if err := l.AddUpstreams(1, s2.Plain, func(int, *s2.Upstream) {}); err != nil {
		return 0, err
	}
	if err := l.AddGateways(3, func(_ int, m *s2.Machine) { m.StatusS = statusS }); err != nil {
		return 0, err
	}
	time.Sleep(time.Second)
	var list []s2.Item
	for i := range items {
		list = append(list, s2.Item{ID: fmt.Sprintf("item-%d", i), Group: fmt.Sprintf("group-%d", i/8), Body: []byte("prompt")})
	}
	// One item is scored; the others are complete with their texts.
	list[items-1].Score = "reward-one"
	if l.Trouble {
		server := l.Upstreams[len(l.Upstreams)-1]
		server.Stop()
		l.Record.Line("the server %s of the reward calls is lost for good", server.ID)
		time.Sleep(time.Second)
	}
	submitted := time.Now()
	a := s2.Call(l.Gateways[0].Front, http.MethodPost, s2.RolloutPrefix+job, job, s2.JobBody(0, 1, items/8, list), nil, 10*time.Second)
	l.Record.Line("submitted %d items at %s: %d %v", items, l.Gateways[0].Name, a.Status, a.Err)
	if a.Status != http.StatusAccepted {
		return 0, fmt.Errorf("the job was not accepted")
	}
	// Without the trouble the trainer has done with its job before status_s is over; with it, the job stays open.
	until := submitted.Add(calmLength)
	if l.Trouble {
		until = submitted.Add(length)
	}
	time.Sleep(settle)
	first := map[int]s2.Result{}
	code := s2.Held
	for n := 0; time.Now().Before(until); n++ {
		g := l.Gateways[n%len(l.Gateways)]
		age := time.Since(submitted).Seconds()
		p, a := s2.Read(g.Front, job, 0, 0)
		l.Record.Line("read at %s, %.0f s after the submission: %d, total %d, %d results", g.Name, age, a.Status, p.Total, len(p.Results))
		switch {
		case a.Status == http.StatusNotFound || a.Status == http.StatusGone:
			l.Record.Line("BROKEN: %s answers %d for a job that was accepted and has not been ended", g.Name, a.Status)
			code = s2.Broken
		case a.Status == http.StatusOK && p.Total != items:
			l.Record.Line("BROKEN: total is %d", p.Total)
			code = s2.Broken
		case a.Status == http.StatusOK && len(p.Results) < len(first):
			l.Record.Line("BROKEN: %s has %d results, but %d have been read", g.Name, len(p.Results), len(first))
			code = s2.Broken
		case a.Status == http.StatusOK:
			for i, r := range p.Results {
				if known, ok := first[i]; ok && (known.ID != r.ID || known.Output != r.Output) {
					l.Record.Line("BROKEN: position %d holds another result than before", i)
					code = s2.Broken
				}
				first[i] = r
			}
		}
		time.Sleep(readEvery)
	}
	want := items
	if l.Trouble {
		want = items - 1
	}
	if len(first) != want {
		return 0, fmt.Errorf("%d results were read, not %d", len(first), want)
	}
	a = s2.Call(l.Gateways[0].Front, http.MethodDelete, "/-/lots/"+job, "", nil, nil, 3*time.Second)
	l.Record.Line("ended the job: %d", a.Status)
	return code, nil
}
