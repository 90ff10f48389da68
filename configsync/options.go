package configsync

import (
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/httpstatus"
	"github.com/radishshelf/radishshelf/rpc"
	"github.com/radishshelf/radishshelf/telemetry"
)

const (
	defaultInterval = time.Second
	// defaultCallTimeout bounds one call to a peer. It does not exceed the interval, so that a hanging peer does not
	// delay the calls to the others. The round trip between regions takes 40 ms.
	defaultCallTimeout = time.Second
	// defaultTableTimeout bounds one read of the table, which may span several pages after a restart.
	defaultTableTimeout = 3 * time.Second
	// idleTimeout closes unused connections to peers.
	idleTimeout = 90 * time.Second
)

// Options configures a Syncer.
type Options struct {
	// Name, PeerAddress, DataCentre, Region and Incarnation describe this entry to its peers.
	Name        string
	PeerAddress string
	DataCentre  string
	Region      string
	Incarnation string
	// Peers are the peer addresses in the settings; further addresses are learned from these peers.
	Peers []string
	// Source reads the configuration from the table.
	Source Source
	// Dial returns the client for a peer; Twirp over plain HTTP if nil.
	Dial func(address string) rpc.Peer
	// Participants add their state to the Sync messages.
	Participants []Participant
	// Interval is the time between two reads or pulls; 1 s if zero.
	Interval time.Duration
	// CallTimeout bounds one call to a peer; 1 s if zero.
	CallTimeout time.Duration
	// TableTimeout bounds one read of the table; 3 s if zero.
	TableTimeout time.Duration
	// KeyFreshness is how long a confirmation by the table is valid; 5 s if zero.
	KeyFreshness time.Duration
	Logger       zerolog.Logger
	// Registry receives the metrics; none are registered if nil.
	Registry *telemetry.Registry
}

func (o Options) withDefaults() Options {
	if o.Interval <= 0 {
		o.Interval = defaultInterval
	}
	if o.CallTimeout <= 0 {
		o.CallTimeout = defaultCallTimeout
	}
	if o.TableTimeout <= 0 {
		o.TableTimeout = defaultTableTimeout
	}
	if o.Dial == nil {
		client := &http.Client{Timeout: o.CallTimeout, Transport: httpstatus.NewTransport(&http.Transport{IdleConnTimeout: idleTimeout})}
		o.Dial = func(address string) rpc.Peer { return rpc.NewPeerProtobufClient("http://"+address, client) }
	}
	return o
}
