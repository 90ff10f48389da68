package httpapi

import (
	"time"

	"github.com/radishshelf/radishshelf/hosting"
)

// Paths of the protocol.
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
	maxJSONBytes   = 160 << 20 // a scan of 1,000 rows may carry many large values in base64
	maxObjectBytes = 64 << 20
	maxHeaderBytes = 16 << 10
	// readHeaderTimeout closes connections that send no request.
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	// requestTimeout bounds reading one request body.
	requestTimeout = time.Minute
	// DefaultTimeout bounds one call, except for the reading of weights.
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

// errorBody is the body of every answer that is not 2xx.
type errorBody struct {
	Kind    hosting.ErrorKind `json:"kind"`
	Op      string            `json:"op"`
	Message string            `json:"message"`
	Remedy  string            `json:"remedy,omitempty"`
}
