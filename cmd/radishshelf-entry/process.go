package main

import (
	"crypto/tls"
	"math/rand"
	"net"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/configstore"
	"github.com/radishshelf/radishshelf/configsync"
	"github.com/radishshelf/radishshelf/dataplane"
	"github.com/radishshelf/radishshelf/entry"
	"github.com/radishshelf/radishshelf/entry/peer"
	"github.com/radishshelf/radishshelf/fleetauth"
	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/idempotency"
	"github.com/radishshelf/radishshelf/lotstore"
	"github.com/radishshelf/radishshelf/roles"
	"github.com/radishshelf/radishshelf/standin/httpapi"
	"github.com/radishshelf/radishshelf/telemetry"
	"github.com/radishshelf/radishshelf/usage"
)

const (
	// peerTimeout bounds one call to a peer.
	peerTimeout = 2 * time.Second
	// maxRetained bounds the usage records kept until their agents have flushed them. With 13,000 requests/s over 350
	// entries and a flush every 20 s, an entry holds about 750.
	maxRetained = 100_000
)

// process holds the parts of one entry.
type process struct {
	settings    entry.Settings
	incarnation string
	log         zerolog.Logger
	registry    *telemetry.Registry
	tracer      *telemetry.Tracer
	tls         *tls.Config
	credential  string
	services    hosting.Services
	listeners   listeners
	dialer      *peer.Dialer

	fleet       *entry.Fleet
	store       *configstore.Store
	syncer      *configsync.Syncer
	roles       *roles.Runner
	roleView    *peer.RoleView
	lots        *lotstore.Store
	retainer    *usage.Retainer
	shares      *entry.QuotaShares
	quotaServer *entry.QuotaHolder
	entry       *entry.Entry
	leaving     atomic.Bool
	startedAt   time.Time
}

// newProcess opens the ports and builds the parts; serve starts them.
func newProcess(s entry.Settings, log zerolog.Logger, tracer *telemetry.Tracer) (*process, error) {
	mutualTLS, err := fleetauth.MutualTLS(s.TLS)
	if err != nil {
		return nil, err
	}
	credential, err := fleetauth.LoadCredential(s.CredentialFile)
	if err != nil {
		return nil, err
	}
	l, err := listen(s)
	if err != nil {
		return nil, err
	}
	p := &process{
		startedAt: time.Now(),
		settings:  s, incarnation: uuid.NewString(), log: log, registry: telemetry.NewRegistry(), tracer: tracer, tls: mutualTLS,
		credential: credential, services: httpapi.NewServices(s.PlatformAddress, httpapi.Options{}), listeners: l,
		dialer: peer.NewDialer(credential, mutualTLS, peerTimeout),
	}
	if err := p.buildShared(); err != nil {
		l.close()
		return nil, err
	}
	p.buildEntry()
	return p, nil
}

// buildShared builds the parts whose state entries share: fleet view, configuration, roles, lots and retained usage.
func (p *process) buildShared() error {
	s := p.settings
	p.fleet = entry.NewFleet(s.DataCentre, s.Region, rand.New(rand.NewSource(time.Now().UnixNano())))
	p.store = configstore.New(p.services.Table)
	p.roleView = peer.NewRoleView(p.ownRoles)
	participant := peer.NewParticipant(p.fleet, p.roleView, nil)
	participant.SetExpectedUpstreams(p.configuredUpstreams)
	p.syncer = configsync.New(configsync.Options{
		Name: s.Name, PeerAddress: p.peerAddress(), DataCentre: s.DataCentre, Region: s.Region,
		Incarnation: p.incarnation, Peers: s.Peers, Source: p.store, Dial: p.dialer.Dial,
		Participants: []configsync.Participant{participant},
		Logger:       p.log, Registry: p.registry,
	})
	var err error
	p.roles, err = p.newRoles()
	if err != nil {
		return err
	}
	p.lots = p.newLotStore()
	p.retainer = usage.NewRetainer(s.Name+"-"+p.incarnation, maxRetained)
	return nil
}

// peerAddress returns the address at which other processes reach the peer port.
func (p *process) peerAddress() string {
	if p.settings.AdvertisedPeerAddress != "" {
		return p.settings.AdvertisedPeerAddress
	}
	return p.listeners.peer.Addr().String()
}

// configuredUpstreams returns the names of all upstreams in the configuration.
func (p *process) configuredUpstreams() []string {
	var names []string
	for _, u := range p.syncer.View().Upstreams() {
		names = append(names, u.Name)
	}
	return names
}

func (p *process) buildEntry() {
	p.shares = entry.NewQuotaShares(p.settings.Name, p.syncer)
	authority := entry.NewQuotaAuthority(p.roles.Authority(roles.Quota), p.syncer, p.settings.TakeoverTime())
	p.quotaServer = entry.NewQuotaHolder(authority, p.syncer)
	p.entry = entry.New(entry.Options{
		Settings: p.settings, Log: p.log, Registry: p.registry, Tracer: p.tracer, Config: p.syncer, Fleet: p.fleet,
		Client: dataplane.NewClient(p.tls, p.credential), Quota: p.shares,
		Claims: idempotency.NewStore(p.services.Table, p.settings.Name, p.settings.ClaimsPerSecond), Groups: p.lots,
		Usage: p.retainer, Trainers: p.newTrainerHandler,
	})
}

// listeners are the listening sockets of the entry's ports.
type listeners struct{ caller, operator, peer, status net.Listener }

func listen(s entry.Settings) (l listeners, err error) {
	open := func(address string) net.Listener {
		if err != nil {
			return nil
		}
		var opened net.Listener
		opened, err = net.Listen("tcp", address)
		return opened
	}
	l.status = open(s.StatusAddress)
	l.peer = open(s.PeerAddress)
	l.operator = open(s.OperatorAddress)
	l.caller = open(s.CallerAddress)
	if err != nil {
		l.close()
	}
	return l, err
}

func (l listeners) close() {
	for _, listener := range []net.Listener{l.caller, l.operator, l.peer, l.status} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}
