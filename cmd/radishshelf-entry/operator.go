package main

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/radishshelf/radishshelf/fleetauth"
	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/membership"
	"github.com/radishshelf/radishshelf/operatorapi"
	"github.com/radishshelf/radishshelf/operatorclient"
	"github.com/radishshelf/radishshelf/usageview"
)

// newOperatorServer returns the HTTP server of the operator port.
func (p *process) newOperatorServer() (*http.Server, error) {
	token, err := fleetauth.LoadCredential(p.settings.OperatorTokenFile)
	if err != nil {
		return nil, err
	}
	handler, err := operatorapi.New(operatorapi.Options{
		Writer: p.store, Reader: p.syncer, Hosts: statusSource{p}, Roles: statusSource{p}, Versions: statusSource{p},
		Usage:     usageview.New(usageview.Options{Table: p.services.Table, Window: p.window}),
		Decisions: p.entry, KeyUse: p.entry, Token: token, Logger: p.log,
	})
	if err != nil {
		return nil, err
	}
	return operatorapi.NewServer(handler, 0), nil
}

// statusSource serves this entry's view of the fleet to the operator interface.
type statusSource struct{ p *process }

// HostStatus implements operatorapi.HostSource.
func (s statusSource) HostStatus(context.Context) ([]operatorclient.HostStatus, error) {
	now := time.Now()
	var list []operatorclient.HostStatus
	for _, e := range s.p.fleet.Entries(now) {
		if e.Name == s.p.settings.Name {
			e.Status, e.ReportedAt = s.ownStatus(), now // an entry does not report to itself
		}
		list = append(list, operatorclient.HostStatus{
			Name: e.Name, Address: e.PeerAddress, DataCentre: e.DataCentre, Region: e.Region, Role: "entry",
			State: hostState(e.Status), Detail: hostDetail(e.Status, e.ReportedAt, now),
		})
	}
	for _, u := range s.p.fleet.Upstreams(now) {
		host := operatorclient.HostStatus{
			Name: u.Name, Address: u.DataAddress, DataCentre: u.DataCentre, Region: u.Region, Role: "upstream",
			State: hostState(u.Status), Detail: upstreamDetail(u, now), Policy: u.Serves, ActiveVersion: u.ActiveVersion,
		}
		if configured, ok := s.p.syncer.View().Upstream(u.Name); ok && configured.Draining && u.Status == membership.Live {
			host.State, host.Detail = hostState(membership.Leaving), "draining by configuration"
		}
		list = append(list, host)
	}
	return list, nil
}

func (s statusSource) ownStatus() membership.Status {
	if s.p.leaving.Load() {
		return membership.Leaving
	}
	return membership.Live
}

func hostState(s membership.Status) string {
	switch s {
	case membership.Live:
		return "live"
	case membership.Leaving:
		return "leaving"
	case membership.Dead:
		return "gone"
	default:
		return "suspect"
	}
}

func upstreamDetail(u membership.Upstream, now time.Time) string {
	if u.Status == membership.Live && !u.Healthy {
		return "fails its health check and receives no requests"
	}
	return hostDetail(u.Status, u.ReportedAt, now)
}

func hostDetail(s membership.Status, reportedAt, now time.Time) string {
	switch s {
	case membership.Candidate:
		return "in the host list, but has not reported to the entries"
	case membership.Live:
		return ""
	default:
		return "last report " + now.Sub(reportedAt).Round(time.Millisecond).String() + " ago"
	}
}

// RoleStatus implements operatorapi.RoleSource.
func (s statusSource) RoleStatus(context.Context) ([]operatorclient.RoleStatus, error) {
	var list []operatorclient.RoleStatus
	for _, info := range s.p.roles.Infos(time.Now()) {
		list = append(list, operatorclient.RoleStatus{Role: info.Role, Holder: info.Holder, Term: info.Term, Acting: info.Held})
	}
	return list, nil
}

// VersionStatus implements operatorapi.VersionSource.
func (s statusSource) VersionStatus(context.Context) ([]operatorclient.VersionStatus, error) {
	view := s.p.syncer.View()
	rollouts := view.Rollouts()
	var list []operatorclient.VersionStatus
	for _, policy := range slices.Sorted(maps.Keys(view.Policies())) {
		list = append(list, s.version(policy, rollouts[policy]))
	}
	return list, nil
}

func (s statusSource) version(policy string, r fleetconfig.Rollout) operatorclient.VersionStatus {
	status := operatorclient.VersionStatus{Policy: policy, Version: r.Version, Phase: r.Phase, Previous: r.Previous}
	for _, engine := range s.p.engines(policy, time.Now()) {
		status.Engines++
		status.Upstreams = append(status.Upstreams, operatorclient.UpstreamVersion{
			Upstream: engine.Upstream, Active: engine.Active, Staged: engine.Staged,
		})
		if r.Version == 0 {
			continue
		}
		if engine.Active == r.Version {
			status.Active++
		}
		if engine.Active == r.Version || slices.Contains(engine.Staged, r.Version) {
			status.Staged++
		}
	}
	return status
}
