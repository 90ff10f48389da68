package slopes

import (
	"context"
	"fmt"
	"time"

	"github.com/radishshelf/radishshelf/dataplane"
	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/membership"
	"github.com/radishshelf/radishshelf/prefixindex"
)

// reportOfUpstream is a heartbeat of the i-th of many engines, with names of usual length.
func reportOfUpstream(i, dataCentres int, policy string, seq int64) membership.Upstream {
	dc, region := place(i, dataCentres)
	return membership.Upstream{
		Name: fmt.Sprintf("engine-%04d", i), DataAddress: fmt.Sprintf("10.1.%d.%d:7201", i/250, i%250),
		ControlAddress: fmt.Sprintf("10.1.%d.%d:7202", i/250, i%250), DataCentre: dc, Region: region,
		Kind: fleetconfig.UpstreamEngine, Serves: policy, Incarnation: fmt.Sprintf("0b6e9f0a-1f0c-4f7e-9a55-%012d", i),
		ReportSeq: seq, Healthy: true, ActiveVersion: 1041, StagedVersions: []int64{1041, 1042},
		Load:            dataplane.Load{Running: i % 40, Queued: i % 7, Slots: 64, PendingTokens: int64(i) * 100, TokensPerSecond: 3970.5},
		UsageFlushedSeq: seq * 19, HighestTerm: 12, WeightsURL: fmt.Sprintf("http://10.1.%d.%d:8000", i/250, i%250),
	}
}

// beat keeps upstreams alive at every node until ctx ends. It stands for the heartbeats that arrive there.
func (f *nodes) beat(ctx context.Context, upstreams int) {
	for seq := int64(1); ctx.Err() == nil; seq++ {
		now := time.Now()
		for i := range upstreams {
			report := reportOfUpstream(i, 4, "planner", seq)
			// An agent reports to at most 16 entries; the others hear of it by Sync.
			for k := range min(len(f.list), 16) {
				f.list[(i+k)%len(f.list)].fleet.Heartbeat(report, prefixindex.Event{}, nil, now)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
}

// measureFleetReports shows what the reports of the upstreams add to Sync.
func measureFleetReports(r *Report) error {
	r.heading("configsync with load reports: 8 entries, 4 data centres, by upstreams that report every second")
	bytes := newSeries("fleetreports.bytes_sent_per_entry", "upstreams", "B/s")
	cpu := newSeries("fleetreports.cpu_per_entry", "upstreams", "us/s")
	for _, size := range []int{0, 170, 680} {
		f, err := startNodes(8, 4)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithCancel(context.Background())
		go f.beat(ctx, size)
		time.Sleep(2 * time.Second) // the reports spread over the entries
		l := f.measure(syncSpan)
		cancel()
		f.close()
		bytes.add(size, l.bytes/8)
		cpu.add(size, l.cpu/8)
	}
	r.print(bytes, cpu)
	return nil
}
