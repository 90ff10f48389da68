// Command routegone shows that an accepted batch job is answered 404 once a configuration has removed the last route of its host.
package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	s2 "github.com/radishshelf/radishshelf/review/standin2"
)

const (
	trainHost = "train.example" // the host of the rollout route, which has no other route
	items     = 24
	job       = "job-one"
	apply     = 2500 * time.Millisecond // config_apply_ms
	settle    = time.Second             // settle_ms
	length    = 20 * time.Second        // of the reads after the change
)

func main() { s2.Main(run) }

// config returns a configuration with or without the rollout route.
func config(version int, rollout bool) []byte {
	return s2.Config(version, func(c map[string]any) {
		var routes []any
		for _, r := range c["routes"].([]any) {
			route := r.(map[string]any)
			if route["kind"] == "rollout" {
				if !rollout {
					continue
				}
				route["host"] = trainHost
			}
			routes = append(routes, route)
		}
		c["routes"] = routes
	})
}

func run(l *s2.Lab) (int, error) {
	l.Store.Put("op", "config", config(1, true))
	if err := l.AddUpstreams(3, s2.Engines, func(_ int, u *s2.Upstream) {
		u.Slots, u.Gap, u.Events, u.EventBytes, u.Models = 16, 20*time.Millisecond, 12, 100, map[string]int64{s2.Model: 1}
	}); err != nil {
		return 0, err
	}
	if err := l.AddGateways(3, nil); err != nil {
		return 0, err
	}
	time.Sleep(6 * time.Second)
	host := map[string]string{"Host": trainHost}
	var list []s2.Item
	for i := range items {
		list = append(list, s2.Item{ID: fmt.Sprintf("item-%d", i), Group: fmt.Sprintf("group-%d", i/8), Body: []byte("prompt")})
	}
	a := s2.Call(l.Gateways[0].Front, http.MethodPost, s2.RolloutPrefix+job, job, s2.JobBody(0, 1, items/8, list), host, 10*time.Second)
	l.Record.Line("submitted %d items at %s: %d %v", items, l.Gateways[0].Name, a.Status, a.Err)
	if a.Status != http.StatusAccepted {
		return 0, fmt.Errorf("the job was not accepted")
	}
	read := func(g *s2.Gateway) (s2.Page, s2.Answer) {
		a := s2.Call(g.Front, http.MethodGet, "/-/lots/"+job+"?after=0", "", nil, host, 3*time.Second)
		var p s2.Page
		if a.Status == http.StatusOK {
			_ = json.Unmarshal(a.Body, &p)
		}
		l.Record.Line("read at %s: %d, total %d, %d results %.90s", g.Name, a.Status, p.Total, len(p.Results), errorText(a))
		return p, a
	}
	known := 0
	for t := time.Now(); time.Since(t) < 4*time.Second; time.Sleep(500 * time.Millisecond) {
		for _, g := range l.Gateways {
			p, _ := read(g)
			known = max(known, len(p.Results))
		}
	}
	if known == 0 {
		return 0, fmt.Errorf("no result was read")
	}
	if l.Trouble {
		l.Store.Put("op", "config", config(2, false))
		l.Record.Line("the operator has removed the rollout route, the last one of %s; the store has acknowledged version 2", trainHost)
	}
	time.Sleep(apply + settle)
	code := s2.Held
	for t := time.Now(); time.Since(t) < length; time.Sleep(500 * time.Millisecond) {
		for _, g := range l.Gateways {
			p, a := read(g)
			switch {
			case a.Status == http.StatusNotFound || a.Status == http.StatusGone:
				l.Record.Line("BROKEN: %s answers %d for an accepted job", g.Name, a.Status)
				code = s2.Broken
			case a.Status == http.StatusOK && len(p.Results) < known:
				l.Record.Line("BROKEN: %s has %d results, but %d have been read", g.Name, len(p.Results), known)
				code = s2.Broken
			}
		}
	}
	return code, nil
}

// errorText returns the body of an answer that is no success.
func errorText(a s2.Answer) string {
	if a.Status == http.StatusOK {
		return ""
	}
	return string(a.Body)
}
