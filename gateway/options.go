package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/batch"
	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/membudget"
	"github.com/radishshelf/radishshelf/quarantine"
	"github.com/radishshelf/radishshelf/serving"
	"github.com/radishshelf/radishshelf/telemetry"
	"github.com/radishshelf/radishshelf/upstreamcall"
	"github.com/radishshelf/radishshelf/upstreams"
	"github.com/radishshelf/radishshelf/versionplan"
)

// Options are the parts of a Gateway.
type Options struct {
	// Host names the process, and Incarnation its start.
	Host, Incarnation string
	DataCentre        string
	// RegionOf maps data centres to regions.
	RegionOf map[string]string
	// PeerAddress is where peers reach this process, host:port.
	PeerAddress string
	Timing      Timing
	// Processor is what the process gets of the processor, in cores.
	Processor float64
	// MaxRowBytes bounds the value of one row.
	MaxRowBytes int
	// UsageDuty and ScaleDuty say which reports and orders the platform expects.
	UsageDuty, ScaleDuty bool

	// Rows reaches the store in any way that works.
	Rows      hosting.Rows
	Upstreams UpstreamCaller
	Duties    DutyCaller
	Codec     Codec
	// Suspects bounds what is remembered of requests under which upstreams ended; the zero value takes the defaults.
	Suspects quarantine.LedgerConfig
	// WallClock reads the time of day; nil reads the host's clock.
	WallClock func() time.Time
	// Memory bounds what answers in the making take together; nil sets no bound.
	Memory   *membudget.Budget
	Log      zerolog.Logger
	Registry *telemetry.Registry
}

// Timing holds the bounds that the platform gives.
type Timing struct {
	// Lease is the time within which holders of a duty must not alternate.
	Lease time.Duration
	// Grace is the time from the request to stop to the end by force.
	Grace time.Duration
	// UsageWindow is the length of a usage window, and UsageLate the time after its end at which its report is late.
	UsageWindow, UsageLate time.Duration
	// BatchLifetime is how long results stay readable after the submission of their job.
	BatchLifetime time.Duration
	// Settle is the time after which every host must show what another one has shown.
	Settle time.Duration
	// CancelApply is the time after the accepted end of a job from which none of its items may be started.
	CancelApply time.Duration
}

// UpstreamCaller sends requests and orders to upstreams. Errors of Send are *upstreamcall.Failure.
type UpstreamCaller interface {
	Send(ctx context.Context, r *upstreamcall.Request) (*upstreamcall.Answer, error)
	Order(ctx context.Context, u upstreams.Entry, o upstreamcall.VersionOrder) (upstreamcall.OrderAnswer, error)
	Report(ctx context.Context, u upstreams.Entry) (upstreamcall.Report, error)
	// Dial opens a connection and closes it; the failure of an upstream that has ended is upstreamcall.NoListener.
	Dial(ctx context.Context, u upstreams.Entry) error
}

// DutyCaller makes the calls that are the duty of one process at a time.
type DutyCaller interface {
	ReportUsage(ctx context.Context, holder string, term, window int64, counts map[string]int64) error
	OrderUpstreams(ctx context.Context, holder string, term int64, service, dataCentre string, count int) error
}

// EventReader reads the events of a stream; io.EOF follows the last one.
type EventReader interface {
	Next() (upstreamcall.Event, error)
}

// Codec decodes what others write into the store or send.
type Codec interface {
	// OperatorTable and UpstreamTable name the tables that operators and upstreams write.
	OperatorTable() string
	UpstreamTable() string
	// IsConfig and IsNamedVersion tell the rows of the operators' table apart.
	IsConfig(key string) bool
	IsNamedVersion(key string) bool
	DecodeConfig(value []byte) (*serving.Config, error)
	DecodeNamedVersion(key string, value []byte) (versionplan.Named, error)
	DecodeUpstream(id string, value []byte) (upstreams.Entry, error)
	DecodeBatch(body []byte) (batch.Spec, error)
	// ItemHeader returns the headers of an item that go to its upstream.
	ItemHeader(headers map[string]string) http.Header
	// Events reads a stream that starts under a weight version.
	Events(r io.Reader, version int64) EventReader
}
