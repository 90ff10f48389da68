package httpapi

import (
	"time"

	"github.com/radishshelf/radishshelf/hosting"
)

// Paths of the calls.
const (
	pathCommit  = "/v1/table/commit"
	pathGet     = "/v1/table/get"
	pathScan    = "/v1/table/scan"
	pathObjects = "/v1/objects/"
	pathPlace   = "/v1/orders/place"
	pathLookup  = "/v1/orders/lookup"
	pathReport  = "/v1/usage/report"
	pathHosts   = "/v1/hosts/list"
	pathWeights = "/v1/weights/"
)

// Limits of the protocol.
const (
	maxJSONBytes   = 160 << 20 // the response to a scan of 1,000 rows may contain many large values in base64
	maxObjectBytes = 64 << 20
	maxHeaderBytes = 16 << 10
	// readHeaderTimeout limits the time for reading a request header, so that idle clients do not hold connections open.
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	// requestTimeout limits the time for reading one request.
	requestTimeout = time.Minute
	// DefaultTimeout limits the duration of one call, except for reading weights.
	DefaultTimeout = 5 * time.Second
)

type getRequest struct {
	Key string `json:"key"`
}

type scanRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}

type scanResponse struct {
	Rows []hosting.Row `json:"rows"`
}

type lookupRequest struct {
	ID string `json:"id"`
}

type hostsResponse struct {
	Hosts []hosting.Host `json:"hosts"`
}

type empty struct{}

// errorBody is the body of every response with a status other than 2xx.
type errorBody struct {
	Kind    hosting.ErrorKind `json:"kind"`
	Op      string            `json:"op"`
	Message string            `json:"message"`
	Remedy  string            `json:"remedy,omitempty"`
}
