package configcheck

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/radishshelf/radishshelf/serving"
)

// routeKey is what selects a route.
type routeKey struct{ host, prefix string }

func (c *checker) checkRoutes() {
	names, first := map[string]int{}, map[routeKey]Place{}
	for i, r := range c.b.Routes {
		f := c.at(PartRoute, i, r.Name)
		c.checkName(f, r.Name, names)
		c.checkSelection(f, r)
		key := routeKey{serving.NormalizeHost(r.Host), r.PathPrefix}
		if other, ok := first[key]; ok {
			f.add(Error, FieldPrefix, "remove one of them, or change its prefix",
				"can never match: %s has the same host and prefix and stands before it", other)
		} else {
			first[key] = f.place
		}
		c.checkKind(f, r)
		c.checkTargets(f, r)
		checkTimes(f, r)
		c.checkRegions(f, r.Homes.List())
	}
}

// checkSelection checks that requests can match the host and the prefix of a route.
func (c *checker) checkSelection(f findings, r *serving.Route) {
	if r.Host == "" {
		f.add(Error, FieldHost, "set the host of its requests", "can never match: it has no host")
	} else if strings.ContainsAny(r.Host, "/ \t") {
		f.add(Error, FieldHost, "write the host name only", "can never match: host %q contains a character that no host has", r.Host)
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		f.add(Error, FieldPrefix, "begin and end it with a slash", "prefix %q does not begin and end with a slash", r.PathPrefix)
		return
	}
	if strings.ContainsFunc(r.PathPrefix, func(c rune) bool { return c <= ' ' || c > '~' || strings.ContainsRune(`?#"<>\^{|}`, c) }) {
		f.add(Error, FieldPrefix, "write it as it stands in requests, with %XX for such characters",
			"can never match: prefix %q contains a character that no path has", r.PathPrefix)
	}
	for _, reserved := range c.o.ReservedPrefixes {
		if strings.HasPrefix(r.PathPrefix, reserved) {
			f.add(Error, FieldPrefix, "choose another prefix", "can never match: the hosts answer requests below %s themselves", reserved)
		}
	}
}

// checkKind checks the kind of a route and the fields that apply to one kind only.
func (c *checker) checkKind(f findings, r *serving.Route) {
	kinds := []serving.Kind{serving.Idempotent, serving.NonIdempotent, serving.Rollout}
	if !slices.Contains(kinds, r.Kind) {
		f.add(Error, FieldKind, fmt.Sprintf("write one of %s", join(kinds)), "kind %q is unknown", string(r.Kind))
		return
	}
	isBatch := r.Kind == serving.Rollout && !r.Streaming
	ignored := func(field Field, set bool, why string) {
		if set {
			f.add(Warning, field, "remove it", "%s has no effect: %s", field, why)
		}
	}
	ignored(FieldResumable, r.Resumable && !r.Streaming && r.Kind != serving.Rollout, "the route is not streaming")
	ignored(FieldSingleVersion, r.SingleVersion && !isBatch, "the route takes no batch jobs")
	ignored(FieldDue, r.Due > 0 && !isBatch, "the route takes no batch jobs")
	ignored(FieldLifetime, r.ItemLifetime > 0 && !isBatch, "the route takes no batch jobs")
	if isBatch && r.Due == 0 {
		f.add(Warning, FieldDue, "set it", "no due time: nothing says when the results of its jobs are late")
	}
	if r.MaxAttempts < 1 {
		f.add(Warning, FieldAttempts, "set the number of upstreams that a request may try", "%d attempts count as 1", r.MaxAttempts)
	}
}

// checkTargets checks that the requests of a route can reach a service.
func (c *checker) checkTargets(f findings, r *serving.Route) {
	seen, reached := map[string]bool{}, 0
	for i, t := range r.Targets {
		service, ok := c.services[t.Service]
		switch {
		case !ok:
			f.addItem(Error, FieldTargets, i+1, "name one of "+c.serviceNames(), "service %q does not exist", t.Service)
		case seen[t.Service]:
			f.addItem(Warning, FieldTargets, i+1, "add up its weights", "service %q stands twice", t.Service)
		case t.Weight <= 0:
			f.addItem(Warning, FieldTargets, i+1, "remove it, or give it a weight", "service %q has the weight %v and gets no request", t.Service, t.Weight)
		case r.Kind == serving.Rollout && len(service.Models) == 0:
			f.addItem(Error, FieldTargets, i+1, "name a service with a model", "service %q runs no model for the texts of the route", t.Service)
		}
		if seen[t.Service] = true; t.Weight > 0 {
			reached++
		}
	}
	if reached == 0 {
		f.add(Error, FieldTargets, "name a service", "every request is refused: no service gets any of them")
	}
}

// serviceNames lists the services that have a name.
func (c *checker) serviceNames() string {
	names := slices.Sorted(maps.Keys(c.services))
	return join(slices.DeleteFunc(names, func(name string) bool { return name == "" }))
}

// checkTimes checks the times of a route against each other. Times of 0 are not set.
func checkTimes(f findings, r *serving.Route) {
	if r.Timeout > 0 && r.TargetLatency > r.Timeout {
		f.add(Error, FieldLatency, "lower it, or raise the timeout",
			"target latency %s is above the timeout %s: no response can come between them", r.TargetLatency, r.Timeout)
		return
	}
	if r.Retryable() && r.Kind != serving.Rollout && r.Timeout > 0 && r.TargetLatency > 0 {
		if fit := int(r.Timeout / r.TargetLatency); r.MaxAttempts > fit {
			f.add(Warning, FieldAttempts, "raise the timeout, or lower the attempts",
				"%d attempts of %s each do not fit in the timeout %s; %d do", r.MaxAttempts, r.TargetLatency, r.Timeout, fit)
		}
	}
	if r.Due > 0 && r.ItemLifetime > 0 && r.Due > r.ItemLifetime {
		f.add(Error, FieldDue, "lower it, or raise the item lifetime",
			"results are due after %s, but items may be given up after %s", r.Due, r.ItemLifetime)
	}
	if r.Due > 0 && r.TargetLatency >= r.Due {
		f.add(Error, FieldLatency, "lower it, or raise the due time",
			"a job may take %s to be accepted, but its results are due after %s", r.TargetLatency, r.Due)
	}
}

// join lists texts.
func join[S ~string](list []S) string {
	if len(list) == 0 {
		return "none"
	}
	texts := make([]string, len(list))
	for i, s := range list {
		texts[i] = string(s)
	}
	return strings.Join(texts, ", ")
}
