package entry

import (
	"context"
	"net/http"

	"github.com/radishshelf/radishshelf/outcome"
)

// Built-in paths of the caller port. All other paths are configured routes.
const (
	chatPath     = "/v1/chat/completions"
	groupsPath   = "/v1/rollout-groups"
	modelsPath   = "/v1/models"
	trainersPath = "/v1/trainers"
)

func (x *exchange) dispatch(ctx context.Context) error {
	switch x.r.URL.Path {
	case chatPath:
		return x.requireMethod(http.MethodPost, func() error { return x.serveChat(ctx) })
	case groupsPath:
		return x.requireMethod(http.MethodPost, func() error { return x.serveRolloutGroup(ctx) })
	case modelsPath:
		return x.requireMethod(http.MethodGet, x.serveModels)
	default:
		return x.serveRoute(ctx)
	}
}

// requireMethod calls serve if the request has the given method.
func (x *exchange) requireMethod(method string, serve func() error) error {
	if x.r.Method == method {
		return serve()
	}
	x.w.Header().Set("Allow", method)
	return newRefusal(outcome.KindMethodNotAllowed, http.StatusMethodNotAllowed,
		"the method is not allowed for this path", "use "+method)
}
