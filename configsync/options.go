package configsync

import (
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/rpc"
	"github.com/radishshelf/radishshelf/telemetry"
)

const (
	defaultInterval = time.Second
	// defaultCallTimeout bounds one call to a peer. It is not above the interval, so that a peer that hangs does not
	// delay the questions to the others; a link between regions takes 40 ms there and back.
	defaultCallTimeout = time.Second
	// defaultTableTimeout bounds one read of the table, which may take several pages after a restart.
	defaultTableTimeout = 3 * time.Second
)

// Options configure a Syncer.
type Options struct {
	// Name, PeerAddress, DataCentre, Region and Incarnation describe this entry to its peers.
	Name        string
	PeerAddress string
	DataCentre  string
	Region      string
	Incarnation string
	// Peers are the peer addresses known from the settings; others are learnt from them.
	Peers []string
	// Source is the configuration in the table.
	Source Source
	// Dial returns the client of a peer; plain twirp over HTTP when nil.
	Dial func(address string) rpc.Peer
	// Participants travel with Sync.
	Participants []Participant
	// Interval is the time between two reads or pulls; 1 s when zero.
	Interval time.Duration
	// CallTimeout bounds one call to a peer; 1 s when zero.
	CallTimeout time.Duration
	// TableTimeout bounds one read of the table; 3 s when zero.
	TableTimeout time.Duration
	// KeyFreshness is how long a confirmation by the table lasts; 5 s when zero.
	KeyFreshness time.Duration
	Logger       zerolog.Logger
	// Registry receives the metrics; none when nil.
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
		client := &http.Client{Timeout: o.CallTimeout}
		o.Dial = func(address string) rpc.Peer { return rpc.NewPeerProtobufClient("http://"+address, client) }
	}
	return o
}
