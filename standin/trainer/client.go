package trainer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/radishshelf/radishshelf/lotstore"
	"github.com/radishshelf/radishshelf/trainerapi"
)

const (
	// maxLotBytes limits the content of a lot.
	maxLotBytes = 256 << 20
	// callMargin is the time allowed for a call in addition to the requested wait.
	callMargin = 10 * time.Second
)

// statusError is a response with an error status.
type statusError struct {
	status     int
	detail     trainerapi.ErrorDetail
	retryAfter time.Duration
}

// Error implements error.
func (e *statusError) Error() string {
	return fmt.Sprintf("status %d: %s: %s", e.status, e.detail.Type, e.detail.Message)
}

// client calls the trainer API of an entry.
type client struct {
	settings Settings
	http     *http.Client
}

// pull returns the content of the next lot, or nil if none became ready within the wait.
func (c *client) pull(ctx context.Context, after, step int64) ([]byte, error) {
	return c.call(ctx, http.MethodPost, "pull", trainerapi.PullRequest{
		After: after, Step: step, WaitMs: c.settings.PullWait.D().Milliseconds(),
	})
}

// publish announces a weight version.
func (c *client) publish(ctx context.Context, version int64) error {
	_, err := c.call(ctx, http.MethodPost, "versions", trainerapi.PublishRequest{Version: version, Step: version})
	return err
}

// status returns the state of the trainer's lots.
func (c *client) status(ctx context.Context) (lotstore.Status, error) {
	body, err := c.call(ctx, http.MethodGet, "status", nil)
	if err != nil {
		return lotstore.Status{}, err
	}
	var status lotstore.Status
	if err := json.Unmarshal(body, &status); err != nil {
		return lotstore.Status{}, fmt.Errorf("decode status: %w", err)
	}
	return status, nil
}

// call sends a request to the trainer API and returns the body of the response, nil for 204.
func (c *client) call(ctx context.Context, method, name string, value any) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.PullWait.D()+callMargin)
	defer cancel()
	var body []byte
	if value != nil {
		var err error
		if body, err = json.Marshal(value); err != nil {
			return nil, err
		}
	}
	target := c.settings.ServiceURL + trainerapi.PathPrefix + url.PathEscape(c.settings.Trainer) + "/" + name
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.settings.Key)
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	return readResponse(resp)
}

// readResponse returns the body of a successful response, nil for 204 and a statusError for an error status.
func readResponse(resp *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxLotBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxLotBytes {
		return nil, fmt.Errorf("the response exceeds %d bytes; lower the lot size", maxLotBytes)
	}
	switch resp.StatusCode {
	case http.StatusOK, http.StatusAccepted:
		return body, nil
	case http.StatusNoContent:
		return nil, nil
	}
	statusErr := &statusError{status: resp.StatusCode}
	var errorBody trainerapi.ErrorBody
	if json.Unmarshal(body, &errorBody) == nil {
		statusErr.detail = errorBody.Error
	}
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		statusErr.retryAfter = time.Duration(seconds) * time.Second
	}
	return nil, statusErr
}
