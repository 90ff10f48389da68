package httpapi

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/radishshelf/radishshelf/hosting"
)

// NewHandler returns a handler that serves services over the protocol of this package.
func NewHandler(services hosting.Services) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST "+pathCommit, jsonHandler("table commit", services.Table.Commit))
	mux.Handle("POST "+pathGet, jsonHandler("table get", func(ctx context.Context, r getRequest) (hosting.Row, error) {
		return services.Table.Get(ctx, r.Key)
	}))
	mux.Handle("POST "+pathScan, jsonHandler("table scan", func(ctx context.Context, r scanRequest) (scanResponse, error) {
		rows, err := services.Table.Scan(ctx, r.Prefix, r.After, r.Limit)
		return scanResponse{Rows: rows}, err
	}))
	mux.Handle("POST "+pathPlace, jsonHandler("order place", func(ctx context.Context, r hosting.Order) (empty, error) {
		return empty{}, services.Orders.Place(ctx, r)
	}))
	mux.Handle("POST "+pathLookup, jsonHandler("order lookup", func(ctx context.Context, r lookupRequest) (hosting.Order, error) {
		return services.Orders.Lookup(ctx, r.ID)
	}))
	mux.Handle("POST "+pathReport, jsonHandler("usage report", func(ctx context.Context, r hosting.UsageReport) (empty, error) {
		return empty{}, services.Usage.Report(ctx, r)
	}))
	mux.Handle("POST "+pathHosts, jsonHandler("host list", func(ctx context.Context, _ empty) (hostsResponse, error) {
		list, err := services.Hosts.List(ctx)
		return hostsResponse{Hosts: list}, err
	}))
	mux.Handle("PUT "+pathObjects+"{key...}", putObject(services.Objects))
	mux.Handle("GET "+pathObjects+"{key...}", getObject(services.Objects))
	mux.Handle("GET "+pathWeights+"{policy}/{version}", getWeights(services.Weights))
	return mux
}

// NewServer returns a server for handler with the limits of the protocol. Writing a response has no timeout, because
// weights are sent at the rate of the weight store.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: requestTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}
}

func putObject(store hosting.Objects) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectBytes))
		if err != nil {
			writeError(w, invalidRequest("object put", err))
			return
		}
		if err := store.Put(r.Context(), r.PathValue("key"), data); err != nil {
			writeError(w, err)
		}
	}
}

func getObject(store hosting.Objects) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		data, err := store.Get(r.Context(), r.PathValue("key"))
		if err != nil {
			writeError(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/octet-stream")
		_, _ = w.Write(data) // the client detects a truncated body by Content-Length
	}
}

func getWeights(store hosting.Weights) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		version, err := strconv.ParseInt(r.PathValue("version"), 10, 64)
		if err != nil {
			writeError(w, invalidRequest("weight open", err))
			return
		}
		blob, err := store.Open(r.Context(), r.PathValue("policy"), version)
		if err != nil {
			writeError(w, err)
			return
		}
		defer blob.Close()
		w.Header().Set("Content-Type", "application/octet-stream")
		if _, err := io.Copy(w, blob); err != nil {
			panic(http.ErrAbortHandler) // ending the response normally would make a truncated blob look complete
		}
	}
}
