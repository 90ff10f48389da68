package lotstore

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/lots"
	"github.com/radishshelf/radishshelf/telemetry"
)

const (
	// DefaultMaxPendingBytes limits the content of the pending groups and, separately, that of the copies held for peers.
	DefaultMaxPendingBytes = 64 << 20
	// DefaultRetryInterval is the interval between attempts to store pending groups.
	DefaultRetryInterval = time.Second
	// DefaultRetention is how long group ids are kept to detect duplicates. A group that is added again later counts as
	// new.
	DefaultRetention = 24 * time.Hour
	// outageRetryAfter is the retry delay sent to callers while the store is unavailable.
	outageRetryAfter = 5 * time.Second
	// cleanIntervalTicks is the number of retry intervals between cleanups.
	cleanIntervalTicks = 30
	// peerCallTimeout is the timeout of a call that copies a group to a peer or releases the copy.
	peerCallTimeout = 2 * time.Second
	// maxDeleteRows limits the rows deleted in one transaction. It is below the table's limit of 128 rows.
	maxDeleteRows = 100
	// readyPageSize is the number of ready rows per scan.
	readyPageSize = 500
	// maxReadyScan limits the ready groups that a pull with OrderFreshest reads, to 40 pages. Later groups are not
	// considered until earlier ones have been delivered or discarded as stale.
	maxReadyScan = 20_000
	// readyCountInterval is how long a count of ready samples is reused. With 350 entries, the most that the system is
	// designed for, rollouts for five trainers at each entry and three reads per count, counting uses 350 of the 2,000
	// reads per second that the table allows.
	readyCountInterval = 15 * time.Second
	// maxPullAttempts limits the attempts of one pull while the head changes concurrently.
	maxPullAttempts = 8
	// maxGroupReads limits the concurrent reads of group content for one lot.
	maxGroupReads = 16
)

// Options configures a Store.
type Options struct {
	Table   hosting.Table
	Objects hosting.Objects
	// Spec returns the lot configuration of a trainer, or false for an unknown trainer.
	Spec func(trainer string) (lots.Spec, bool)
	// Peer returns a live entry that can hold copies of pending groups, or false if there is none. It may be nil.
	Peer func() (GroupHolder, bool)
	// Name identifies this entry to the peer.
	Name string
	// MaxPendingBytes, RetryInterval and Retention default to the Default constants when zero.
	MaxPendingBytes int
	RetryInterval   time.Duration
	Retention       time.Duration
	// Now returns the current time. It defaults to time.Now.
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
