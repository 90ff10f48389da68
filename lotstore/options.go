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
	// retryAfterOutage is what callers are told while the store is down.
	retryAfterOutage = 5 * time.Second
	// cleanEvery is the number of retry intervals between two cleanups.
	cleanEvery = 30
	// offerTimeout bounds one offer of a group to a peer.
	offerTimeout = 2 * time.Second
	// deleteRows is the number of rows deleted in one transaction, below the table's limit of 128 rows.
	deleteRows = 100
	// readPage is the number of ready rows read at once.
	readPage = 500
	// maxReadyRead bounds the ready groups that a pull in the order Freshest reads, 40 reads of a page. Groups beyond it
	// are not considered before earlier ones are taken or stale.
	maxReadyRead = 20_000
	// roomInterval is how long a count of ready samples is used. At the design size, with rollouts for five trainers at
	// each of 350 entries and three reads a count, it costs 350 of the 2,000 reads per second.
	roomInterval = 15 * time.Second
	// pullTries bounds the attempts of one pull against concurrent changes of the head.
	pullTries = 8
	// groupReaders bounds the concurrent reads of group content for one lot.
	groupReaders = 16
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
