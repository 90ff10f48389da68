package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/radishshelf/radishshelf/batch"
	"github.com/radishshelf/radishshelf/placement"
	"github.com/radishshelf/radishshelf/presence"
	"github.com/radishshelf/radishshelf/retry"
	"github.com/radishshelf/radishshelf/serving"
	"github.com/radishshelf/radishshelf/upstreamhealth"
	"github.com/radishshelf/radishshelf/upstreams"
	"github.com/radishshelf/radishshelf/wallclock"
)

// peerTimeout is how long a process is silent, in time in which the store answered, before its jobs are taken over.
const peerTimeout = 2500 * time.Millisecond

// Gateway is the entry process. All methods are safe for concurrent use.
type Gateway struct {
	opts    Options
	metrics *metricSet

	mu sync.Mutex
	// config is nil until the first configuration was read.
	config *serving.Config
	// latestVersions holds the newest version of each model.
	latestVersions map[string]int64
	upstreams      *upstreams.View
	// upstreamsLoaded tells that the upstreams' table was read once.
	upstreamsLoaded bool
	peers           *presence.View
	// heartbeatStored is the sequence of the last heartbeat that the store took, at beatStoredAt, and heartbeatSeen the one that the
	// watch brought back.
	heartbeatStored, heartbeatSeen int64
	heartbeatStoredAt              time.Time
	// heartbeatRowVersion is the version of the row of that heartbeat.
	heartbeatRowVersion int64
	jobs                map[string]*jobEntry
	jobsLoaded          bool
	// jobWatchAnsweredAt is when the watch of the jobs was answered last, and startsHeld tells that no item starts because that is
	// too long ago.
	jobWatchAnsweredAt time.Time
	startsPaused       bool
	health             map[string]*upstreamhealth.Health
	fastest            map[string]fastestEntry
	// inFlight counts the requests of this process at each upstream.
	inFlight map[string]int
	// memoryBooks holds what engines said of their memoryBooks, by service, and rates what is known of the texts of models.
	memoryBooks map[string]*placement.MemoryBook[incarnation]
	tokenRates  map[string]*batch.TokenRate
	// connections holds how many connections to each upstream are kept.
	connections map[string]connectionState
	peerLoad    peerLoadSums
	// clock is the store's clock as of clockAt.
	clock   time.Duration
	clockAt time.Time
	// storeAnsweredAt is when the store answered last, and storeLost tells that it is taken for lost.
	storeAnsweredAt time.Time
	storeLost       bool
	leaving         bool
	hedges          *retry.Budget
	// probes holds the last question to each upstream that went silent.
	probes   map[string]*probe
	suspects *suspects
	usage    usageCounts
	wall     wallclock.Clock

	schedulerWake chan struct{}
	// jobAssigned wakes the search for jobs without an owner when a job was given to this process.
	jobAssigned chan struct{}
	workWG      sync.WaitGroup
	// workCtx is the context of everything that runs on behalf of jobs; it ends when the process stops.
	workCtx  context.Context
	stopWork context.CancelFunc
	// dutyCtx is the context of the competition for the dutyCtx; it ends when the process begins to leave.
	dutyCtx    context.Context
	stopDuties context.CancelFunc
	term       termHolder
}

// New returns a gateway that has read nothing yet.
func New(opts Options) *Gateway {
	g := &Gateway{
		opts: opts, latestVersions: map[string]int64{}, upstreams: upstreams.NewView(), peers: presence.NewView(peerTimeout),
		jobs: map[string]*jobEntry{}, health: map[string]*upstreamhealth.Health{}, fastest: map[string]fastestEntry{}, inFlight: map[string]int{},
		connections: map[string]connectionState{},
		memoryBooks: map[string]*placement.MemoryBook[incarnation]{}, tokenRates: map[string]*batch.TokenRate{},
		peerLoad: peerLoadSums{requests: map[string]int{}, tokens: map[string]int{}}, hedges: retry.NewBudget(retry.DefaultBudgetConfig(), time.Now()),
		suspects: newSuspects(opts.Suspects), usage: usageCounts{}, probes: map[string]*probe{}, schedulerWake: make(chan struct{}, 1), jobAssigned: make(chan struct{}, 1),
	}
	if g.opts.WallClock == nil {
		g.opts.WallClock = time.Now
	}
	g.metrics = newMetricSet(opts.Registry, g)
	g.opts.Rows = &freshRows{Rows: &countedRows{Rows: opts.Rows, met: g.metrics}}
	g.workCtx, g.stopWork = context.WithCancel(context.Background())
	g.dutyCtx, g.stopDuties = context.WithCancel(context.Background())
	return g
}

// Run works until ctx ends. What runs for callers and jobs then is ended by Leave.
func (g *Gateway) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for name, loop := range map[string]func(context.Context){
		"operator watch": g.operatorWatch().run, "upstream watch": g.upstreamWatch().run, "beat watch": g.beatWatch().run,
		"job watch": g.jobWatch().run, "beat": g.beatLoop, "schedule": g.scheduleLoop, "move": g.moveLoop,
		"supervise": g.superviseLoop, "duty": g.competeLoop, "usage": g.usageFlushLoop, "suspect watch": g.suspectWatch().run,
		"suspects": g.suspectSyncLoop,
	} {
		wg.Go(func() { g.runLoop(ctx, name, loop) })
	}
	wg.Wait()
}

// SetTiming takes bounds that changed while the process runs. The lease keeps its timing until the next start, because
// all candidates of a lease must use the same.
func (g *Gateway) SetTiming(t Timing) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t.Lease, t.UsageWindow = g.opts.Timing.Lease, g.opts.Timing.UsageWindow
	g.opts.Timing = t
}

// wakeScheduler makes the scheduler look for work.
func (g *Gateway) wakeScheduler() {
	select {
	case g.schedulerWake <- struct{}{}:
	default:
	}
}

// healthOf returns the judgement of an upstream. The caller holds the lock.
func (g *Gateway) healthOf(id string) *upstreamhealth.Health {
	h, ok := g.health[id]
	if !ok {
		h = &upstreamhealth.Health{}
		g.health[id] = h
	}
	return h
}

// storeClock returns the store's clock now. The caller holds the lock.
func (g *Gateway) storeClock() time.Duration {
	if g.clockAt.IsZero() {
		return 0
	}
	return g.clock + time.Since(g.clockAt)
}

// region returns the region of a data centre.
func (g *Gateway) region(dataCentre string) string { return g.opts.RegionOf[dataCentre] }
