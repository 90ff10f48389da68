package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// step is one step of the trainer as it went.
type step struct {
	number           int64
	items            []string
	submitted, ended time.Time
	// done is how many items were read as succeeded, and complete is set if all were before the deadline.
	done     int
	complete bool
}

// trainer asks for steps and names the versions.
type trainer struct {
	lab   *lab
	front string
	// named is when the newest version was named.
	named   time.Time
	version int64
	// hints is set if the trainer states the length of each text, which is right.
	hints bool
}

func (t *trainer) call(method, path, id string, wait time.Duration, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+t.front+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host, req.Close = host, true
	req.Header.Set("Radishshelf-Credential", apiKey)
	if id != "" {
		req.Header.Set("Radishshelf-Attempt-Id", id)
	}
	if wait > 0 {
		req.Header.Set("Radishshelf-Wait-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

// name names the next version.
func (t *trainer) name() {
	t.version++
	t.named = time.Now()
	t.lab.store.Put("op", "version/"+model, encode(map[string]any{"model": model, "version": t.version}))
	t.lab.record("version %d named", t.version)
}

// run asks for a step of groups of two items, which are as many events long as given, and ends it once all of its groups are
// complete or at the deadline.
func (t *trainer) run(number int64, groups, events int, deadline time.Duration) *step {
	s := &step{number: number}
	var requests []map[string]any
	for i := range 2 * groups {
		id := fmt.Sprintf("s%d-%02d", number, i)
		s.items = append(s.items, id)
		headers := map[string]string{
			"Radishshelf-Model": model, "Radishshelf-Token-Usage": fmt.Sprintf("16,%d", 50*events),
			"Radishshelf-Prompt-Prefix": fmt.Sprintf("%x:16", number*100+int64(i)),
		}
		if t.hints {
			headers["Radishshelf-Length-Hint"] = strconv.Itoa(50 * events)
		}
		requests = append(requests, map[string]any{
			"id": id, "path": rolloutPath + "run", "tokens": 16 + 50*events, "group": fmt.Sprintf("g%d-%d", number, i/2),
			"headers": headers,
			"body":    base64.StdEncoding.EncodeToString([]byte(strconv.Itoa(events))),
			"scorer_url": map[string]any{
				"id": "score-" + id, "host": host, "path": scorePath + "s", "body": base64.StdEncoding.EncodeToString([]byte(id)),
			},
		})
	}
	body := encode(map[string]any{
		"step": number, "model": model, "min_version": max(t.version-1, 1), "desired": groups, "requests": requests,
	})
	job := fmt.Sprintf("job-%d", number)
	s.submitted = time.Now()
	for status := 0; status != http.StatusAccepted; {
		status, _ = t.call(http.MethodPost, rolloutPath+"job", job, 0, body)
		t.lab.record("step %d of %d items, versions from %d on: %d", number, len(s.items), max(t.version-1, 1), status)
		if time.Since(s.submitted) > deadline {
			return s
		}
	}
	next := 0
	for time.Since(s.submitted) < deadline && !s.complete {
		asked := time.Now()
		var page struct {
			Next    int `json:"next"`
			Results []struct {
				State string `json:"state"`
			} `json:"results"`
		}
		status, data := t.call(http.MethodGet, fmt.Sprintf("/-/lots/%s?after=%d", job, next), "", time.Second, nil)
		if status == http.StatusOK && json.Unmarshal(data, &page) == nil {
			next = page.Next
			for _, r := range page.Results {
				if r.State == "succeeded" {
					s.done++
				}
			}
			s.complete = s.done == len(s.items)
		}
		time.Sleep(time.Until(asked.Add(500 * time.Millisecond)))
	}
	s.ended = time.Now()
	status, _ := t.call(http.MethodDelete, "/-/lots/"+job, "", 0, nil)
	t.lab.record("step %d ended after %.1f s with %d of %d items: %d", number, s.ended.Sub(s.submitted).Seconds(), s.done,
		len(s.items), status)
	return s
}
