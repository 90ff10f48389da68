package quickstart

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
)

// maxResponseBytes limits the body that is read of a response.
const maxResponseBytes = 8 << 20

// fleet gives access to the processes and the granted secrets that the script recorded in dir.
type fleet struct {
	dir     string
	secrets map[string]string
}

// newFleet reads the secrets from dir.
func newFleet(dir string) (*fleet, error) {
	f := &fleet{dir: dir, secrets: map[string]string{}}
	for _, name := range []string{"hraunvegur", "verband", "verband-2", "coach"} {
		data, err := os.ReadFile(filepath.Join(dir, name+".secret"))
		if err != nil {
			return nil, fmt.Errorf("read the secret of %s: %w", name, err)
		}
		f.secrets[name] = strings.TrimSpace(string(data))
		if f.secrets[name] == "" {
			return nil, fmt.Errorf("the secret of %s is empty; check the output of radishshelfctl keys grant", name)
		}
	}
	return f, nil
}

// signal sends a signal to a process that the script started.
func (f *fleet) signal(name string, sig syscall.Signal) error {
	data, err := os.ReadFile(filepath.Join(f.dir, name+".pid"))
	if err != nil {
		return err
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(data)))
	if err != nil {
		return err
	}
	return syscall.Kill(pid, sig)
}

// response is a complete HTTP response.
type response struct {
	status int
	header http.Header
	body   []byte
}

// call sends a request with an API key and reads the complete response. An empty key sends no credential.
func call(ctx context.Context, method, url, key string, body any, headers ...string) (response, error) {
	resp, err := send(ctx, method, url, key, body, headers...)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	return response{status: resp.StatusCode, header: resp.Header, body: data}, err
}

// send sends a request and returns the response with its body unread. headers are alternating names and values.
func send(ctx context.Context, method, url, key string, body any, headers ...string) (*http.Response, error) {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return nil, err
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	return http.DefaultClient.Do(req)
}

// getJSON decodes the JSON response of an admin or status endpoint.
func getJSON(ctx context.Context, url string, into any) error {
	a, err := call(ctx, http.MethodGet, url, "", nil)
	if err != nil {
		return err
	}
	if a.status != http.StatusOK {
		return fmt.Errorf("GET %s: status %d: %s", url, a.status, a.body)
	}
	return json.Unmarshal(a.body, into)
}
