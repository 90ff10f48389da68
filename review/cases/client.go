package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Names in the configurations of the cases.
const (
	apiHost   = "api.example"
	apiKey    = "key-of-north"
	apiTenant = "north"
)

var newConnections = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// call sends a client's request on a new connection.
func call(ctx context.Context, method, address, path, id string, body []byte, deadline time.Duration) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Host = apiHost
	req.Header.Set("Radishshelf-Credential", apiKey)
	req.Header.Set("Radishshelf-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if id != "" {
		req.Header.Set("Radishshelf-Attempt-Id", id)
	}
	return newConnections.Do(req)
}

// reply is an answer as a client saw it. complete is false if it broke off.
type reply struct {
	status   int
	seal     string
	body     []byte
	complete bool
}

// exchange sends a request and reads the whole answer.
func exchange(method, address, path, id string, body []byte, deadline time.Duration) reply {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	resp, err := call(ctx, method, address, path, id, body, deadline)
	if err != nil {
		return reply{}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, seal: resp.Header.Get("Radishshelf-Server-Seal"), body: data, complete: err == nil}
}
