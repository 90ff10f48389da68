package agent

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/radishshelf/radishshelf/dataplane"
	"github.com/radishshelf/radishshelf/drain"
	"github.com/radishshelf/radishshelf/fleetauth"
	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/rpc"
	"github.com/radishshelf/radishshelf/telemetry"
)

// Limits on connections and requests of the ports.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	controlTimeout    = 10 * time.Second
	maxHeaderBytes    = 64 << 10
	maxControlBytes   = 64 << 10
)

// listeners holds the listeners of an agent's ports.
type listeners struct{ data, control, status net.Listener }

func (a *Agent) listen() (*listeners, error) {
	var l listeners
	for _, port := range []struct {
		address string
		into    *net.Listener
	}{{a.settings.AgentAddress, &l.data}, {a.settings.ControlAddress, &l.control}, {a.settings.StatusAddress, &l.status}} {
		listener, err := net.Listen("tcp", port.address)
		if err != nil {
			l.close()
			return nil, eris.Wrap(err, "listen")
		}
		*port.into = listener
	}
	a.addresses = Addresses{
		Data: l.data.Addr().String(), Control: l.control.Addr().String(), Status: l.status.Addr().String(),
	}
	return &l, nil
}

func (l *listeners) close() {
	for _, listener := range []net.Listener{l.data, l.control, l.status} {
		if listener != nil {
			listener.Close()
		}
	}
}

// servers returns the servers of the ports. Each has its own copy of the TLS configuration, which net/http modifies.
func (a *Agent) servers(config *tls.Config) (data, control, status *http.Server) {
	errorLog := log.New(a.logger, "", 0)
	// The data port has no WriteTimeout, because a stream lasts as long as its generation.
	data = &http.Server{
		Handler: echoRequestID(a.credential.require(a.dataHandler())), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: errorLog, TLSConfig: config.Clone(),
	}
	calls := rpc.NewAgentControlServer(newControl(a))
	control = &http.Server{
		Handler:           a.credential.require(http.MaxBytesHandler(calls, maxControlBytes)),
		ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: controlTimeout, WriteTimeout: controlTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: errorLog, TLSConfig: config.Clone(),
	}
	status = telemetry.NewStatusServer(a.registry, a.readiness)
	return data, control, status
}

func newControl(a *Agent) rpc.AgentControl { return control{agent: a} }

func (a *Agent) dataHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(dataplane.RunPath, func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			writeRefusal(w, routeRefusal(http.StatusMethodNotAllowed, outcome.KindMethodNotAllowed))
			return
		}
		a.serveBounded(w, r)
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		writeRefusal(w, routeRefusal(http.StatusNotFound, outcome.KindNotFound))
	})
	return mux
}

// echoRequestID sets the request ID on every response, including refusals, so that an entry can match it to its
// request.
func echoRequestID(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(dataplane.HeaderRequestID, r.Header.Get(dataplane.HeaderRequestID))
		next.ServeHTTP(w, r)
	})
}

// serveBounded limits the number of requests that hold a body in memory.
func (a *Agent) serveBounded(w http.ResponseWriter, r *http.Request) {
	defer a.handlers.Add(-1)
	if a.handlers.Add(1) > a.maxHandlers() {
		a.refuse(w, call{requestID: r.Header.Get(dataplane.HeaderRequestID)}, time.Now(), &outcome.Refusal{
			Kind: outcome.KindOverloaded, Outcome: outcome.NotRun, Status: http.StatusServiceUnavailable,
			Message: "too many concurrent requests on this agent", Remedy: remedyRepeat, RetryAfter: defaultRetryAfter,
		})
		return
	}
	a.ServeHTTP(w, r)
}

func routeRefusal(status int, kind outcome.Kind) *outcome.Refusal {
	return &outcome.Refusal{
		Kind: kind, Outcome: outcome.NotRun, Status: status,
		Message: "the data port serves POST " + dataplane.RunPath + " only", Remedy: "correct the method and the path",
	}
}

// readiness returns why the upstream takes no requests, or nil.
func (a *Agent) readiness() error {
	if state, _, _ := a.admission.state(); state != drain.Ready {
		return fmt.Errorf("the agent is %s", state)
	}
	if !a.health.healthy() {
		return errors.New("the upstream does not pass its health check")
	}
	return nil
}

// Run serves until ctx ends. It then refuses new requests, waits for admitted ones to finish, flushes usage and
// returns.
func (a *Agent) Run(ctx context.Context) error {
	config, err := fleetauth.MutualTLS(a.settings.TLS)
	if err != nil {
		return err
	}
	l, err := a.listen()
	if err != nil {
		return err
	}
	a.logger.Info().Str("data", a.addresses.Data).Str("control", a.addresses.Control).
		Str("status", a.addresses.Status).Str("incarnation", a.incarnation).Msg("started")
	data, control, status := a.servers(config)
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return serve(data, l.data, config != nil) })
	group.Go(func() error { return serve(control, l.control, config != nil) })
	group.Go(func() error { return serve(status, l.status, false) })
	loops, stopLoops := a.startLoops(config)
	<-groupCtx.Done()
	a.Leave("shutdown")
	if ctx.Err() != nil {
		<-a.admission.stopped
	}
	a.finalFlush()
	stopLoops()
	_ = loops.Wait()
	a.finalReport(config)
	for _, server := range []*http.Server{data, control, status} {
		shutdown(server)
	}
	a.logger.Info().Msg("stopped")
	return group.Wait()
}

func serve(server *http.Server, l net.Listener, withTLS bool) error {
	var err error
	if withTLS {
		err = server.ServeTLS(l, "", "")
	} else {
		err = server.Serve(l)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
