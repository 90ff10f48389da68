package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/radishshelf/radishshelf/evacuation"
	"github.com/radishshelf/radishshelf/evenload"
	"github.com/radishshelf/radishshelf/placement"
	"github.com/radishshelf/radishshelf/presence"
	"github.com/radishshelf/radishshelf/retry"
	"github.com/radishshelf/radishshelf/serving"
	"github.com/radishshelf/radishshelf/textmove"
	"github.com/radishshelf/radishshelf/upstreamhealth"
	"github.com/radishshelf/radishshelf/upstreamlimit"
	"github.com/radishshelf/radishshelf/upstreams"
	"github.com/radishshelf/radishshelf/wallclock"
)

// peerTimeout is how long a process may be silent before its jobs are taken over. Only time in which the store
// responded counts.
const peerTimeout = 2500 * time.Millisecond

// Gateway serves callers and runs batch jobs. All methods are safe for concurrent use.
type Gateway struct {
	opts    Options
	metrics *metricSet

	mu sync.Mutex
	// config is nil until the first configuration has been read.
	config *serving.Config
	// latestVersions maps each model to its newest version.
	latestVersions map[string]int64
	upstreams      *upstreams.View
	// upstreamsLoaded is set once the table of upstreams has been read.
	upstreamsLoaded bool
	peers           *presence.View
	// heartbeatStored is the sequence number of the last heartbeat that the store accepted, at heartbeatStoredAt.
	// heartbeatSeen is the last one that the watch returned.
	heartbeatStored, heartbeatSeen int64
	heartbeatStoredAt              time.Time
	// heartbeatRowVersion is the row version of the last stored heartbeat.
	heartbeatRowVersion int64
	// heartbeatTimes holds when each heartbeat was written that the watch has not returned yet, by sequence number.
	heartbeatTimes map[int64]time.Time
	// startedAt is when this process started, by its own clock, and startedAtStore the same by the store's clock.
	startedAt      time.Time
	startedAtStore time.Duration
	// afterCrash is set if the process before this one ended without a planned stop, and previousJudged once that was
	// found out from the heartbeat that it left.
	afterCrash, previousJudged bool
	jobs                       map[string]*jobEntry
	jobsLoaded                 bool
	// strandedJobs is the number of open jobs that no live host may run.
	strandedJobs int
	// lastJobWatchResponse is when the watch of the jobs last got a response. startsPaused is set while that is too
	// long ago for items to be started.
	lastJobWatchResponse time.Time
	startsPaused         bool
	health               map[string]*upstreamhealth.Health
	// serviceLoads holds what is known of the load of each service, for the choice among its upstreams.
	serviceLoads map[string]*serviceLoad
	chooser      *evenload.Chooser
	// spreadReportedAt is when the spread of requests was judged last, and busiestOverMean what it showed.
	spreadReportedAt time.Time
	busiestOverMean  float64
	// inFlight counts the requests that this process has in flight at each upstream.
	inFlight map[string]int
	// engineMemories holds the memory that engines reported, by service, and textEstimates what complete texts have shown,
	// by model.
	engineMemories map[string]*placement.EngineMemory[upstreams.Incarnation]
	textEstimates  map[string]*textEstimates
	// connections estimates how many connections to each upstream are open.
	connections map[string]connectionState
	peerLoad    peerLoadSums
	// slowPeriods holds since when the engines that run texts of this process have been slow, and restartTimes how long
	// runs take to their first event, by service.
	slowPeriods  textmove.SlowPeriods
	restartTimes map[string]*textmove.RestartTime
	// evacuations holds the operators' orders for data centres, and evacuationProgress how many hosts apply them.
	evacuations        evacuation.Orders
	evacuationProgress evacuation.Progress
	// limits divides the limits that upstreams name between the hosts.
	limits *upstreamlimit.Table
	// limitQueues holds the requests that wait for a share of a limit, by service, and limitWaiters numbers them.
	limitQueues  map[string]*limitQueue
	limitWaiters int64
	// itemsWaiting counts, by engine, the items that found no engine in the last pass of the scheduler.
	itemsWaiting map[string]float64
	// itemsHeldBack counts the items that did not start in the last pass of the scheduler, by the reason.
	itemsHeldBack map[holdReason]int
	// suspectedSlow is the number of engines that the last pass of the scheduler found slow when last observed.
	suspectedSlow int
	// clock is the reading of the store's clock that was taken at clockAt.
	clock   time.Duration
	clockAt time.Time
	// lastStoreResponse is when the store last responded. storeLost is set while the store is considered unavailable.
	lastStoreResponse time.Time
	storeLost         bool
	// leaving is set once the process is about to stop, since leavingSince. Requests may last until stopAt.
	leaving              bool
	leavingSince, stopAt time.Time
	// hedges is the budget for hedged sends.
	hedges *retry.Budget
	// probes holds the last probe of each upstream that went silent.
	probes   map[string]*probe
	suspects *suspects
	usage    usageCounts
	wall     wallclock.Clock

	schedulerWake chan struct{}
	// jobAssigned wakes the search for jobs without an owner after a job was assigned to this process or released.
	jobAssigned chan struct{}
	// heartbeatDue triggers a heartbeat before its time.
	heartbeatDue chan struct{}
	workWG       sync.WaitGroup
	// workCtx is the context of all work for jobs; it is cancelled when the process stops.
	workCtx  context.Context
	stopWork context.CancelFunc
	// dutyCtx is the context of the competition for the duties; it is cancelled when the process begins to shut down.
	dutyCtx    context.Context
	stopDuties context.CancelFunc
	dutyLease  dutyLease
}

// New returns a gateway that has not read any table yet.
func New(opts Options) *Gateway {
	g := &Gateway{
		startedAt: time.Now(),
		opts:      opts, latestVersions: map[string]int64{}, upstreams: upstreams.NewView(), peers: presence.NewView(peerTimeout),
		jobs: map[string]*jobEntry{}, health: map[string]*upstreamhealth.Health{}, inFlight: map[string]int{},
		serviceLoads: map[string]*serviceLoad{}, chooser: evenload.NewChooser(rand.Float64),
		connections: map[string]connectionState{}, heartbeatTimes: map[int64]time.Time{},
		engineMemories: map[string]*placement.EngineMemory[upstreams.Incarnation]{}, textEstimates: map[string]*textEstimates{},
		restartTimes: map[string]*textmove.RestartTime{},
		peerLoad:     peerLoadSums{requests: map[string]int{}, tokens: map[string]int{}}, hedges: retry.NewBudget(retry.DefaultBudgetConfig(), time.Now()),
		suspects: newSuspects(opts.Suspects), usage: usageCounts{}, probes: map[string]*probe{}, limitQueues: map[string]*limitQueue{},
		schedulerWake: make(chan struct{}, 1), jobAssigned: make(chan struct{}, 1),
		heartbeatDue: make(chan struct{}, 1),
	}
	g.limits = upstreamlimit.NewTable(opts.Host, limitView{g})
	if g.opts.WallClock == nil {
		g.opts.WallClock = time.Now
	}
	g.metrics = newMetricSet(opts.Registry, g)
	g.opts.Rows = &monotonicRows{Rows: &instrumentedRows{Rows: opts.Rows, metrics: g.metrics}}
	g.workCtx, g.stopWork = context.WithCancel(context.Background())
	g.dutyCtx, g.stopDuties = context.WithCancel(context.Background())
	return g
}

// Run runs the background loops until ctx ends. Requests and jobs in progress are not ended by it but by Leave.
func (g *Gateway) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for name, loop := range map[string]func(context.Context){
		"operator watch": g.operatorWatch().run, "upstream watch": g.upstreamWatch().run, "beat watch": g.heartbeatWatch().run,
		"job watch": g.jobWatch().run, "beat": g.heartbeatLoop, "schedule": g.scheduleLoop, "move": g.moveLoop,
		"supervise": g.adoptionLoop, "duty": g.electionLoop, "usage": g.usageFlushLoop, "suspect watch": g.suspectWatch().run,
		"suspects": g.suspectSyncLoop,
	} {
		wg.Go(func() { g.runLoop(ctx, name, loop) })
	}
	wg.Wait()
}

// SetTiming applies bounds that changed while the process runs. The lease and the usage window keep their timing until
// the next start, because all candidates of a lease must use the same.
func (g *Gateway) SetTiming(t Timing) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t.Lease, t.UsageWindow = g.opts.Timing.Lease, g.opts.Timing.UsageWindow
	g.opts.Timing = t
}

// wakeScheduler triggers a pass of the scheduler without blocking.
func (g *Gateway) wakeScheduler() {
	select {
	case g.schedulerWake <- struct{}{}:
	default:
	}
}

// healthOf returns the health record of an upstream, which it creates if needed. The caller holds g.mu.
func (g *Gateway) healthOf(id string) *upstreamhealth.Health {
	h, ok := g.health[id]
	if !ok {
		h = &upstreamhealth.Health{}
		g.health[id] = h
	}
	return h
}

// storeClock estimates the current reading of the store's clock, 0 if there was none yet. The caller holds g.mu.
func (g *Gateway) storeClock() time.Duration {
	if g.clockAt.IsZero() {
		return 0
	}
	return g.clock + time.Since(g.clockAt)
}

func (g *Gateway) region(dataCentre string) string { return g.opts.RegionOf[dataCentre] }
