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

// maxResponseBytes bounds what a check reads of one answer.
const maxResponseBytes = 8 << 20

// fleet is the running processes and the secrets that the script was granted.
type fleet struct {
	dir     string
	secrets map[string]string
}

func newFleet(dir string) (*fleet, error) {
	f := &fleet{dir: dir, secrets: map[string]string{}}
	for _, name := range []string{"hraunvegur", "verband", "verband-2", "coach"} {
		data, err := os.ReadFile(filepath.Join(dir, name+".secret"))
		if err != nil {
			return nil, fmt.Errorf("read the secret of %s: %w", name, err)
		}
		f.secrets[name] = strings.TrimSpace(string(data))
		if f.secrets[name] == "" {
			return nil, fmt.Errorf("the secret of %s is empty; look at the output of radishshelfctl keys grant", name)
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

// response is a whole HTTP response.
type response struct {
	status int
	header http.Header
	body   []byte
}

// call sends a request under a key and reads the whole answer. An empty key sends none.
func call(ctx context.Context, method, url, key string, body any, headers ...string) (response, error) {
	resp, err := send(ctx, method, url, key, body, headers...)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	return response{status: resp.StatusCode, header: resp.Header, body: data}, err
}

// send sends a request and returns the answer with its body unread. headers are names and values in turn.
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

// getJSON reads a JSON answer of an admin or status port.
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
