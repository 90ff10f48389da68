package main

import (
	"context"
	"time"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/membership"
)

// watchHosts polls the platform's host list, which lags, until ctx ends. The last list stays in use while it cannot be
// read.
func (p *process) watchHosts(ctx context.Context) {
	ticker := time.NewTicker(p.settings.HostListInterval.D())
	defer ticker.Stop()
	for {
		p.readHosts(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (p *process) readHosts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, p.settings.HostListInterval.D())
	defer cancel()
	list, err := p.services.Hosts.List(ctx)
	if err != nil {
		if ctx.Err() == nil {
			p.log.Debug().Err(err).Msg("cannot read the host list")
		}
		return
	}
	hosts := make([]membership.Host, 0, len(list))
	for _, h := range list {
		role := membership.RoleUpstream
		if h.Role == hosting.HostEntry {
			role = membership.RoleEntry
		}
		hosts = append(hosts, membership.Host{
			Name: h.Name, Role: role, Address: h.Address, DataCentre: h.DataCentre, Region: h.Region,
		})
	}
	p.fleet.SetHosts(hosts, time.Now())
}
