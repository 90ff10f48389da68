package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/radishshelf/radishshelf/agent/engineapi"
)

// maxControlResponseBytes limits the response of a control call.
const maxControlResponseBytes = 1 << 20

// engineControl is a client of the engine's control API.
type engineControl struct {
	base   string
	client *http.Client
}

func (e engineControl) stage(ctx context.Context, o engineapi.Order) (engineapi.Status, error) {
	return e.sendOrder(ctx, engineapi.PathStage, o)
}

func (e engineControl) activate(ctx context.Context, o engineapi.Order) (engineapi.Status, error) {
	return e.sendOrder(ctx, engineapi.PathActivate, o)
}

// probe reads the status of the engine. The probe parameter makes the engine check its weights instead of returning a
// status that may lag.
func (e engineControl) probe(ctx context.Context) (engineapi.Status, error) {
	var status engineapi.Status
	err := e.do(ctx, http.MethodGet, engineapi.PathStatus+"?probe=true", nil, &status)
	return status, err
}

func (e engineControl) cacheEvents(ctx context.Context, after int64) (engineapi.CacheEvents, error) {
	var events engineapi.CacheEvents
	err := e.do(ctx, http.MethodGet, engineapi.PathCacheEvents+"?after="+strconv.FormatInt(after, 10), nil, &events)
	return events, err
}

func (e engineControl) sendOrder(ctx context.Context, path string, o engineapi.Order) (engineapi.Status, error) {
	var status engineapi.Status
	body, err := json.Marshal(o)
	if err != nil {
		return status, err
	}
	err = e.do(ctx, http.MethodPost, path, body, &status)
	return status, err
}

func (e engineControl) do(ctx context.Context, method, path string, body []byte, into any) error {
	req, err := http.NewRequestWithContext(ctx, method, e.base+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return eris.Wrapf(err, "engine %s", path)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxControlResponseBytes))
	if err != nil {
		return eris.Wrapf(err, "engine %s", path)
	}
	if resp.StatusCode != http.StatusOK {
		var apiError engineapi.Error
		_ = json.Unmarshal(data, &apiError)
		return fmt.Errorf("engine %s: status %d: %s", path, resp.StatusCode, apiError.Error.Message)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return eris.Wrapf(err, "engine %s", path)
	}
	return nil
}
