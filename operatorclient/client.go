package operatorclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/httpstatus"
)

const maxResponseBytes = 64 << 20

// Client calls the operator interface of one entry.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// New returns a client of the entry whose operator port listens at address, host:port.
func New(address string, opts Options) *Client {
	if opts.Timeout <= 0 {
		opts.Timeout = DefaultTimeout
	}
	scheme := "http://"
	if opts.TLS != nil {
		scheme = "https://"
	}
	client := httpstatus.NewClient(&http.Transport{TLSClientConfig: opts.TLS})
	client.Timeout = opts.Timeout
	return &Client{base: scheme + address, token: opts.Token, http: client}
}

// List returns the objects of a kind, sorted by name.
func (c *Client) List(ctx context.Context, kind fleetconfig.Kind) (objects []Object, err error) {
	return objects, c.call(ctx, http.MethodGet, PathConfig+"/"+string(kind), nil, &objects)
}

// Get returns one object.
func (c *Client) Get(ctx context.Context, kind fleetconfig.Kind, name string) (o Object, err error) {
	return o, c.call(ctx, http.MethodGet, objectPath(kind, name), nil, &o)
}

// Put creates or replaces an object if its revision equals expected; 0 requires that the object does not exist.
func (c *Client) Put(
	ctx context.Context, kind fleetconfig.Kind, name string, value any, expected int64,
) (result ChangeResult, err error) {
	path := objectPath(kind, name) + "?" + ParamExpected + "=" + strconv.FormatInt(expected, 10)
	return result, c.call(ctx, http.MethodPut, path, value, &result)
}

// Delete deletes an object if its revision equals expected.
func (c *Client) Delete(
	ctx context.Context, kind fleetconfig.Kind, name string, expected int64,
) (result ChangeResult, err error) {
	path := objectPath(kind, name) + "?" + ParamExpected + "=" + strconv.FormatInt(expected, 10)
	return result, c.call(ctx, http.MethodDelete, path, nil, &result)
}

// GrantKey creates a key. The grant holds the secret, which cannot be read again.
func (c *Client) GrantKey(ctx context.Context, request KeyRequest) (grant KeyGrant, err error) {
	return grant, c.call(ctx, http.MethodPost, PathKeys, request, &grant)
}

// WithdrawKey withdraws a key. It is idempotent.
func (c *Client) WithdrawKey(ctx context.Context, id string) (result ChangeResult, err error) {
	return result, c.call(ctx, http.MethodPost, PathKeys+"/"+url.PathEscape(id)+"/withdraw", nil, &result)
}

// Keys lists all keys.
func (c *Client) Keys(ctx context.Context) (keys []KeyInfo, err error) {
	return keys, c.call(ctx, http.MethodGet, PathKeys, nil, &keys)
}

// Effective returns the defaults with the exceptions that apply to a scope.
func (c *Client) Effective(ctx context.Context, scope fleetconfig.Scope) (d fleetconfig.Defaults, err error) {
	query := url.Values{}
	query.Set("workspace", scope.Workspace)
	query.Set("policy", scope.Policy)
	query.Set("data_centre", scope.DataCentre)
	return d, c.call(ctx, http.MethodGet, PathEffective+"?"+query.Encode(), nil, &d)
}

// Entries lists the live entries, the queried one first.
func (c *Client) Entries(ctx context.Context) (entries []EntryStatus, err error) {
	return entries, c.call(ctx, http.MethodGet, PathEntries, nil, &entries)
}

// Hosts lists the hosts.
func (c *Client) Hosts(ctx context.Context) (hosts []HostStatus, err error) {
	return hosts, c.call(ctx, http.MethodGet, PathHosts, nil, &hosts)
}

// Roles lists the leased roles.
func (c *Client) Roles(ctx context.Context) (roles []RoleStatus, err error) {
	return roles, c.call(ctx, http.MethodGet, PathRoles, nil, &roles)
}

// UsageWindows lists the usage windows.
func (c *Client) UsageWindows(ctx context.Context) (windows []UsageWindow, err error) {
	return windows, c.call(ctx, http.MethodGet, PathUsageWindows, nil, &windows)
}

// Versions lists the weight versions by policy.
func (c *Client) Versions(ctx context.Context) (versions []VersionStatus, err error) {
	return versions, c.call(ctx, http.MethodGet, PathVersions, nil, &versions)
}

// Explain returns the routing decision of a request that the queried entry served.
func (c *Client) Explain(ctx context.Context, requestID string) (decision json.RawMessage, err error) {
	return decision, c.call(ctx, http.MethodGet, PathDecisions+"/"+url.PathEscape(requestID), nil, &decision)
}

func objectPath(kind fleetconfig.Kind, name string) string {
	return PathConfig + "/" + url.PathEscape(string(kind)) + "/" + url.PathEscape(name)
}

func (c *Client) call(ctx context.Context, method, path string, body, result any) error {
	req, err := c.newRequest(ctx, method, path, body)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return eris.Wrap(err, "call to the operator interface failed; check --entry")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return eris.Wrap(err, "cannot read the response of the operator interface")
	}
	if !httpstatus.IsSuccess(resp.StatusCode) {
		return responseError(resp.Status, data)
	}
	if err := json.Unmarshal(data, result); err != nil {
		return eris.Wrap(err, "cannot decode the response of the operator interface; check the version of the entry")
	}
	return nil
}

func (c *Client) newRequest(ctx context.Context, method, path string, body any) (*http.Request, error) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, eris.Wrap(err, "cannot encode the request body")
		}
		reader = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, reader)
	if err != nil {
		return nil, eris.Wrap(err, "invalid address of the entry; write host:port")
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	return req, nil
}

func responseError(status string, data []byte) error {
	var e Error
	if err := json.Unmarshal(data, &e); err != nil || e.Kind == "" {
		return fmt.Errorf("operator interface responded with status %s", status)
	}
	return &e
}
