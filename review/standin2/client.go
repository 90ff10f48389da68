package standin2

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Answer is what a client got: status 0 means a connection that was closed or refused.
type Answer struct {
	Status     int
	Header     http.Header
	Body       []byte
	Err        error
	RetryAfter time.Duration
}

// Call sends one request on a connection of its own.
func Call(address, method, target, id string, body []byte, header map[string]string, timeout time.Duration) Answer {
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	req, err := http.NewRequest(method, "http://"+address+target, bytes.NewReader(body))
	if err != nil {
		return Answer{Err: err}
	}
	req.Host = Host
	req.Header.Set("Radishshelf-Credential", Key)
	if id != "" {
		req.Header.Set("Radishshelf-Attempt-Id", id)
	}
	for name, value := range header {
		if name == "Host" {
			req.Host = value
			continue
		}
		req.Header.Set(name, value)
	}
	resp, err := client.Do(req)
	if err != nil {
		return Answer{Err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	a := Answer{Status: resp.StatusCode, Header: resp.Header, Body: data, Err: err}
	if err != nil {
		a.Status = 0
	}
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	return a
}

// Item is an item of a batch job.
type Item struct {
	ID, Group string
	Body      []byte
	Score     string
	// MaxOutput is the maximum number of output tokens; 0 means 500.
	MaxOutput int
}

// promptTokens is the size of the prompt of each item.
const promptTokens = 40

// maxOutput returns the maximum number of output tokens.
func (i Item) maxOutput() int {
	if i.MaxOutput > 0 {
		return i.MaxOutput
	}
	return 500
}

// JobBody returns the body of a batch job.
func JobBody(step, minVersion, desired int, items []Item) []byte {
	var list []any
	for _, i := range items {
		entry := map[string]any{
			"id": i.ID, "path": RolloutPrefix + "item/" + i.ID, "group": i.Group, "tokens": promptTokens + i.maxOutput(),
			"headers": map[string]string{
				"Radishshelf-Model": Model, "Radishshelf-Token-Usage": fmt.Sprintf("%d,%d", promptTokens, i.maxOutput()), "Radishshelf-Prompt-Prefix": "9c2e41:30,5d07b8:10",
			},
			"body": base64.StdEncoding.EncodeToString(i.Body),
		}
		if i.Score != "" {
			entry["scorer_url"] = map[string]any{
				"id": i.Score, "host": Host, "path": ScorePrefix + i.Score, "body": base64.StdEncoding.EncodeToString([]byte("score")),
			}
		}
		list = append(list, entry)
	}
	data, _ := json.Marshal(map[string]any{"step": step, "model": Model, "min_version": minVersion, "desired": desired, "requests": list})
	return data
}

// Result is a listed result.
type Result struct {
	ID       string `json:"id"`
	State    string `json:"state"`
	Output   string `json:"output"`
	Versions []int  `json:"versions"`
	Score    string `json:"score"`
}

// Page is an answer to a read of results.
type Page struct {
	Total   int      `json:"total"`
	Next    int      `json:"next"`
	Results []Result `json:"results"`
}

// Read reads results of a batch job.
func Read(address, id string, after int, wait time.Duration) (Page, Answer) {
	a := Call(address, http.MethodGet, fmt.Sprintf("/-/lots/%s?after=%d", id, after), "", nil,
		map[string]string{"Radishshelf-Wait-Ms": strconv.FormatInt(wait.Milliseconds(), 10)}, wait+1500*time.Millisecond)
	var p Page
	if a.Status == http.StatusOK {
		if err := json.Unmarshal(a.Body, &p); err != nil {
			a.Err = err
		}
	}
	return p, a
}
