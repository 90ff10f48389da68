package operatorapi

import (
	"crypto/subtle"
	"net/http"
	"strings"
	"time"

	"github.com/kataras/iris/v12"
	"github.com/rotisserie/eris"

	"github.com/radishshelf/radishshelf/operatorclient"
)

// Limits of the operator port.
const (
	maxBodyBytes      = 256 << 10
	maxHeaderBytes    = 16 << 10
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 10 * time.Second
	idleTimeout       = time.Minute
	// responseMargin is the time for writing a response after the wait for a change to be in force.
	responseMargin = 10 * time.Second
)

type api struct{ opts Options }

// New returns the HTTP handler of the operator interface.
func New(opts Options) (http.Handler, error) {
	if opts.PropagationTimeout <= 0 {
		opts.PropagationTimeout = defaultPropagationTimeout
	}
	a := &api{opts: opts}
	app := iris.New()
	app.Logger().SetLevel("disable") // requests are logged by logRequest
	app.Use(iris.LimitRequestBodySize(maxBodyBytes), a.logRequest, a.authorize)
	app.OnErrorCode(iris.StatusNotFound, func(ctx iris.Context) {
		respondError(ctx, iris.StatusNotFound, &operatorclient.Error{
			Kind: operatorclient.KindNotFound, Message: "path " + ctx.Path() + " does not exist", Remedy: "check the path",
		})
	})
	a.register(app)
	if err := app.Build(); err != nil {
		return nil, eris.Wrap(err, "cannot build the operator interface")
	}
	return app, nil
}

// NewServer returns an HTTP server for handler with the limits of the operator port. propagationTimeout must be the one
// of the handler's Options.
func NewServer(handler http.Handler, propagationTimeout time.Duration) *http.Server {
	if propagationTimeout <= 0 {
		propagationTimeout = defaultPropagationTimeout
	}
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout,
		WriteTimeout: propagationTimeout + responseMargin, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

func (a *api) register(app *iris.Application) {
	app.Get(operatorclient.PathConfig+"/{kind}", a.listObjects)
	app.Get(operatorclient.PathConfig+"/{kind}/{name}", a.getObject)
	app.Put(operatorclient.PathConfig+"/{kind}/{name}", a.putObject)
	app.Delete(operatorclient.PathConfig+"/{kind}/{name}", a.deleteObject)
	app.Get(operatorclient.PathKeys, a.listKeys)
	app.Post(operatorclient.PathKeys, a.grantKey)
	app.Post(operatorclient.PathKeys+"/{id}/withdraw", a.withdrawKey)
	app.Get(operatorclient.PathEffective, a.effective)
	app.Get(operatorclient.PathEntries, a.entries)
	app.Get(operatorclient.PathHosts, a.hosts)
	app.Get(operatorclient.PathRoles, a.roles)
	app.Get(operatorclient.PathUsageWindows, a.usageWindows)
	app.Get(operatorclient.PathVersions, a.versions)
	app.Get(operatorclient.PathDecisions+"/{id}", a.decision)
}

func (a *api) authorize(ctx iris.Context) {
	token, _ := strings.CutPrefix(ctx.GetHeader("Authorization"), "Bearer ")
	if a.opts.Token != "" && subtle.ConstantTimeCompare([]byte(token), []byte(a.opts.Token)) != 1 {
		respondError(ctx, iris.StatusUnauthorized, &operatorclient.Error{
			Kind: operatorclient.KindUnauthorized, Message: "the operator credential is missing or wrong",
			Remedy: "send it as a bearer token; radishshelfctl takes its file with --token-file",
		})
		return
	}
	ctx.Next()
}

func (a *api) logRequest(ctx iris.Context) {
	start := time.Now()
	ctx.Next()
	a.opts.Logger.Info().Str("method", ctx.Method()).Str("path", ctx.Path()).Int("status", ctx.GetStatusCode()).
		Dur("took_ms", time.Since(start)).Msg("operator request")
}

func respond(ctx iris.Context, status int, value any) {
	ctx.StatusCode(status)
	if err := ctx.JSON(value); err != nil {
		ctx.StopExecution() // the client has disconnected
	}
}

func respondError(ctx iris.Context, status int, e *operatorclient.Error) {
	respond(ctx, status, e)
	ctx.StopExecution()
}
