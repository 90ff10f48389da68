// Command starved shows that most items of a step are sent to no engine until the step is out of time, although the engines are
// nearly empty, if the items allow long outputs.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	s2 "github.com/radishshelf/radishshelf/review/standin2"
)

const (
	engines   = 9
	slots     = 16
	events    = 24
	gap       = 50 * time.Millisecond // the texts are ready after 1.2 s
	groups    = 20
	groupSize = 8
	// longOutput and shortOutput are the maximum output tokens with the trouble and without it. The engines have memory for
	// 46,063 tokens.
	longOutput, shortOutput = 24000, 400
	deadline                = 12 * time.Second // until the trainer gives up the step
	idleTime                = 5 * time.Second  // at no server
	job                     = "job-two"
	firstJob                = "job-one"
)

func main() { s2.Main(run) }

// warmUp runs an earlier, small step of the same trainer, as any step but the first one has.
func warmUp(l *s2.Lab) error {
	var list []s2.Item
	for i := range groupSize {
		list = append(list, s2.Item{ID: fmt.Sprintf("early-%d", i), Group: "early", Body: []byte("prompt"), MaxOutput: shortOutput})
	}
	a := s2.Call(l.Gateways[0].Front, http.MethodPost, s2.RolloutPrefix+firstJob, firstJob, s2.JobBody(0, 1, 1, list), nil, 5*time.Second)
	l.Record.Line("submitted the step before: %d %v", a.Status, a.Err)
	time.Sleep(4 * time.Second)
	p, _ := s2.Read(l.Gateways[0].Front, firstJob, 0, time.Second)
	l.Record.Line("read %d of %d items of the step before", len(p.Results), len(list))
	if len(p.Results) != len(list) {
		return fmt.Errorf("the step before is incomplete")
	}
	s2.Call(l.Gateways[0].Front, http.MethodDelete, "/-/lots/"+firstJob, "", nil, nil, 3*time.Second)
	return nil
}

type itemState struct {
	runs  int
	begun time.Time
	done  bool
}

func run(l *s2.Lab) (int, error) {
	l.Store.Put("op", "config", s2.Config(1, nil))
	var mu sync.Mutex
	items := map[string]*itemState{}
	running := map[string]int{}
	most := map[string]int{}
	if err := l.AddUpstreams(engines, s2.Engines, func(_ int, u *s2.Upstream) {
		u.Slots, u.Gap, u.Events, u.EventBytes, u.Models = slots, gap, events, 60, map[string]int64{s2.Model: 1}
		u.OnArrival = func(a s2.Arrival, _ http.ResponseWriter, _ *http.Request) bool {
			if a.Order {
				return false
			}
			mu.Lock()
			defer mu.Unlock()
			running[a.Upstream]++
			most[a.Upstream] = max(most[a.Upstream], running[a.Upstream])
			if i, ok := items[a.ID]; ok {
				i.runs++
				i.begun = a.At
			}
			l.Record.Line("%s begins %s, %d at work there", a.Upstream, a.ID, running[a.Upstream])
			return false
		}
		u.OnDone = func(a s2.Arrival, whole bool) {
			mu.Lock()
			defer mu.Unlock()
			running[a.Upstream]--
			if i, ok := items[a.ID]; ok && whole {
				i.done = true
			}
		}
	}); err != nil {
		return 0, err
	}
	if err := l.AddGateways(3, nil); err != nil {
		return 0, err
	}
	time.Sleep(5 * time.Second)
	if err := warmUp(l); err != nil {
		return 0, err
	}
	output := shortOutput
	if l.Trouble {
		output = longOutput
	}
	var list []s2.Item
	for i := range groups * groupSize {
		id := fmt.Sprintf("item-%03d", i)
		items[id] = &itemState{}
		list = append(list, s2.Item{ID: id, Group: fmt.Sprintf("group-%02d", i/groupSize), Body: []byte("prompt"), MaxOutput: output})
	}
	submitted := time.Now()
	a := s2.Call(l.Gateways[0].Front, http.MethodPost, s2.RolloutPrefix+job, job, s2.JobBody(1, 1, groups*9/10, list), nil, 5*time.Second)
	l.Record.Line("submitted %d items of at most %d output tokens: %d %v", len(list), output, a.Status, a.Err)
	if a.Status != http.StatusAccepted {
		return 0, fmt.Errorf("the job was not accepted")
	}
	read := 0
	for time.Since(submitted) < deadline && read < len(list) {
		p, a := s2.Read(l.Gateways[0].Front, job, read, time.Second)
		if a.Status == http.StatusOK {
			read = p.Next
		}
		time.Sleep(200 * time.Millisecond)
	}
	took := time.Since(submitted)
	mu.Lock()
	idle, begun := 0, 0
	for _, i := range items {
		switch {
		case i.runs == 0 && took >= idleTime:
			idle++
		case i.runs > 0:
			begun++
		}
	}
	busiest := 0
	for _, n := range most {
		busiest = max(busiest, n)
	}
	mu.Unlock()
	l.Record.Line("after %.1f s: %d of %d items read, %d begun, %d at no server since the submission; no engine ever had more than %d requests in its %d slots",
		took.Seconds(), read, len(list), begun, idle, busiest, slots)
	s2.Call(l.Gateways[0].Front, http.MethodDelete, "/-/lots/"+job, "", nil, nil, 3*time.Second)
	if read < len(list) && idle > 0 && begun > 0 && busiest < slots/2 {
		return s2.Broken, nil
	}
	return s2.Held, nil
}
