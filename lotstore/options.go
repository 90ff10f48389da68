package lotstore

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/lots"
	"github.com/radishshelf/radishshelf/telemetry"
)

const (
	// DefaultMaxPendingBytes bounds the groups that wait for the store, and those held for peers, each.
	DefaultMaxPendingBytes = 64 << 20
	// DefaultRetryInterval is how often waiting groups are offered to the store.
	DefaultRetryInterval = time.Second
	// DefaultRetention is how long a used group id is remembered. A group added again later counts as a new one.
	DefaultRetention = 24 * time.Hour
	// outageRetryAfter is what callers are told while the store is down.
	outageRetryAfter = 5 * time.Second
	// cleanIntervalTicks is the number of retry intervals between two cleanups.
	cleanIntervalTicks = 30
	// peerCallTimeout bounds one offer of a group to a peer.
	peerCallTimeout = 2 * time.Second
	// maxDeleteRows is the number of rows deleted in one transaction, below the table's limit of 128 rows.
	maxDeleteRows = 100
	// readyPageSize is the number of ready rows read at once.
	readyPageSize = 500
	// maxReadyScan bounds the ready groups that a pull in the order Freshest reads, 40 reads of a page. Groups beyond it
	// are not considered before earlier ones are taken or stale.
	maxReadyScan = 20_000
	// readyCountInterval is how long a count of ready samples is used. At the design size, with rollouts for five trainers at
	// each of 350 entries and three reads a count, it costs 350 of the 2,000 reads per second.
	readyCountInterval = 15 * time.Second
	// maxPullAttempts bounds the attempts of one pull against concurrent changes of the head.
	maxPullAttempts = 8
	// maxGroupReads bounds the concurrent reads of group content for one lot.
	maxGroupReads = 16
)

// Options configures a Store.
type Options struct {
	Table   hosting.Table
	Objects hosting.Objects
	// Spec returns what a trainer has agreed, or false for an unknown trainer.
	Spec func(trainer string) (lots.Spec, bool)
	// Peer returns a live entry to hold copies, or false when there is none. It may be nil.
	Peer func() (GroupHolder, bool)
	// Name identifies this entry to the peer.
	Name string
	// MaxPendingBytes, RetryInterval and Retention have defaults when zero.
	MaxPendingBytes int
	RetryInterval   time.Duration
	Retention       time.Duration
	// Now is the clock; time.Now when nil.
	Now      func() time.Time
	Log      zerolog.Logger
	Registry *telemetry.Registry
}

func (o *Options) setDefaults() {
	if o.MaxPendingBytes <= 0 {
		o.MaxPendingBytes = DefaultMaxPendingBytes
	}
	if o.RetryInterval <= 0 {
		o.RetryInterval = DefaultRetryInterval
	}
	if o.Retention <= 0 {
		o.Retention = DefaultRetention
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Peer == nil {
		o.Peer = func() (GroupHolder, bool) { return nil, false }
	}
}
