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

// Options holds the settings and dependencies of a Gateway.
type Options struct {
	// Host is the name of this process. Incarnation identifies the current start of it.
	Host, Incarnation string
	DataCentre        string
	// RegionOf maps data centres to regions.
	RegionOf map[string]string
	// PeerAddress is the host:port at which peers reach this process.
	PeerAddress string
	Timing      Timing
	// CPUShare is the share of the CPU that the process gets, in cores.
	CPUShare float64
	// MaxRowBytes limits the size of the value of one row.
	MaxRowBytes int
	// UsageDuty and ScaleDuty say whether the platform expects usage reports and scaling orders.
	UsageDuty, ScaleDuty bool

	// Rows accesses the store by whichever path works.
	Rows      hosting.Rows
	Upstreams UpstreamCaller
	Duties    DutyCaller
	Codec     Codec
	// Suspects limits the record of requests under which upstreams ended. The zero value selects the defaults.
	Suspects quarantine.LedgerConfig
	// WallClock returns the time of day; nil selects the host's clock.
	WallClock func() time.Time
	// Memory limits the memory that all responses in progress use together; nil means no limit.
	Memory   *membudget.Budget
	Log      zerolog.Logger
	Registry *telemetry.Registry
}

// Timing holds the bounds that the platform sets; nearly all are times.
type Timing struct {
	// Lease is the period within which the holder of a duty must not change back and forth.
	Lease time.Duration
	// Grace is the time from the request to stop until the process is killed.
	Grace time.Duration
	// UsageWindow is the length of a usage window. A report that arrives UsageLate after the end of its window is late.
	UsageWindow, UsageLate time.Duration
	// BatchLifetime is how long results stay readable after their job was submitted.
	BatchLifetime time.Duration
	// Settle is the time within which a state that one host has shown must be visible on all hosts.
	Settle time.Duration
	// CancelApply is the time after a job was ended by its caller from which none of its items may be started.
	CancelApply time.Duration
	// ColdOverrun and ColdSlack say how far the requests to a cold upstream may exceed what it takes, within a second: they
	// may be ColdOverrun times as many and ColdSlack more. An overrun below 1 counts as 1.
	ColdOverrun, ColdSlack float64
}

// UpstreamCaller sends requests and version orders to upstreams. Errors of Send are of type *upstreamcall.Failure.
type UpstreamCaller interface {
	Send(ctx context.Context, r *upstreamcall.Request) (*upstreamcall.Response, error)
	Order(ctx context.Context, u upstreams.Entry, o upstreamcall.VersionOrder) (upstreamcall.OrderResult, error)
	Report(ctx context.Context, u upstreams.Entry) (upstreamcall.Report, error)
	// Dial opens a connection and closes it. If the upstream process has ended, the error has the reason
	// upstreamcall.NoListener.
	Dial(ctx context.Context, u upstreams.Entry) error
}

// DutyCaller makes the calls that only the holder of a duty may make.
type DutyCaller interface {
	ReportUsage(ctx context.Context, holder string, term, window int64, counts map[string]int64) error
	OrderUpstreams(ctx context.Context, holder string, term int64, service, dataCentre string, count int) error
}

// EventReader reads the events of a stream. Next returns io.EOF after the last one.
type EventReader interface {
	Next() (upstreamcall.Event, error)
}

// Codec decodes rows of the store and messages that others write or send.
type Codec interface {
	// OperatorTable and UpstreamTable return the names of the tables that operators and upstreams write.
	OperatorTable() string
	UpstreamTable() string
	// IsConfig and IsModelVersion classify the rows of the operator table by key.
	IsConfig(key string) bool
	IsModelVersion(key string) bool
	// EvacuatedDataCentre returns the data centre whose evacuation a row of the operator table orders, by the row's key.
	EvacuatedDataCentre(key string) (dataCentre string, ok bool)
	DecodeConfig(value []byte) (*serving.Config, error)
	DecodeModelVersion(key string, value []byte) (versionplan.ModelVersion, error)
	DecodeUpstream(id string, value []byte) (upstreams.Entry, error)
	DecodeBatch(body []byte) (batch.Spec, error)
	// ItemHeader selects the headers of an item that are sent to its upstream.
	ItemHeader(headers map[string]string) http.Header
	// Events returns a reader for a stream whose first events were made with the given weight version.
	Events(r io.Reader, version int64) EventReader
}
