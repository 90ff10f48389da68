package slopes

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/rpc"
	"github.com/radishshelf/radishshelf/standin/memory"
)

// Without Sync the entries name each other in their replies for 5 s; warm-up and measurement fit into that time.
const (
	warmUp        = 1500 * time.Millisecond
	heartbeatSpan = 3 * time.Second
)

func measureHeartbeats(r *Report) error {
	r.heading("heartbeats: one entry by agents; real agents, cpu of agents, stand-in engines and entry together")
	if err := heartbeatsByAgents(r); err != nil {
		return err
	}
	r.heading("heartbeats: 32 agents by entries that each reports to; cpu of both ends and the stand-in engines")
	if err := heartbeatsByEntries(r); err != nil {
		return err
	}
	r.heading("heartbeats: one call by entries that the answering entry knows; cpu of both ends over loopback")
	return heartbeatReply(r)
}

func heartbeatsByAgents(r *Report) error {
	bytes := newSeries("heartbeats.bytes_per_entry", "agents", "B/s")
	cpu := newSeries("heartbeats.cpu_all", "agents", "us/s")
	for _, size := range []int{8, 32, 128} {
		l, err := heartbeatLoad(1, size)
		if err != nil {
			return err
		}
		bytes.add(size, l.bytes)
		cpu.add(size, l.cpu)
	}
	r.print(bytes, cpu)
	return nil
}

func heartbeatsByEntries(r *Report) error {
	const agents = 32
	bytes := newSeries("heartbeats.bytes_per_agent", "entries", "B/s")
	calls := newSeries("heartbeats.calls_per_agent", "entries", "1/s")
	cpu := newSeries("heartbeats.cpu_per_agent", "entries", "us/s")
	for _, size := range []int{1, 4, 16} {
		l, err := heartbeatLoad(size, agents)
		if err != nil {
			return err
		}
		bytes.add(size, l.bytes/agents)
		calls.add(size, l.requests/agents)
		cpu.add(size, l.cpu/agents)
	}
	r.print(bytes, calls, cpu)
	return nil
}

// heartbeatLoad measures a fleet to which agents report. Sync is stopped first, since it would carry the reports between
// the entries, which measureFleetReports measures.
func heartbeatLoad(entries, agents int) (load, error) {
	f, err := startNodes(entries, 4)
	if err != nil {
		return load{}, err
	}
	defer f.close()
	f.cancel()
	list, err := startSidecars(agents, 4, f.addresses(), f.table)
	if err != nil {
		return load{}, err
	}
	defer list.close()
	time.Sleep(warmUp)
	return f.measure(heartbeatSpan), nil
}

// heartbeatReply calls one entry that knows others as a peer does.
func heartbeatReply(r *Report) error {
	request := newSeries("heartbeats.request_bytes", "entries_known", "B")
	answer := newSeries("heartbeats.reply_bytes", "entries_known", "B")
	cpu := newSeries("heartbeats.cpu_per_call", "entries_known", "us")
	for _, size := range []int{10, 50, 150, 350} {
		n, err := newNode(0, 4, memory.New(memory.Options{}).Table, nil)
		if err != nil {
			return err
		}
		if err := n.introduce(size); err != nil {
			return err
		}
		client := rpc.NewPeerProtobufClient("http://"+n.address, &http.Client{})
		seq := int64(0)
		var last *rpc.HeartbeatResponse
		var beat *rpc.HeartbeatRequest
		call := func(int) {
			seq++
			beat = heartbeatOf(seq)
			if reply, err := client.Heartbeat(context.Background(), beat); err == nil {
				last = reply
			}
		}
		call(0)
		cpu.add(size, costOfEach(300, call))
		request.add(size, float64(proto.Size(beat)))
		answer.add(size, float64(proto.Size(last)))
		n.close()
	}
	r.print(request, answer, cpu, requestByBlocks())
	return nil
}

// requestByBlocks shows the size of a heartbeat by the prompt blocks that the engine cached since the last one.
func requestByBlocks() *Series {
	bytes := newSeries("heartbeats.request_bytes_by_blocks", "blocks", "B")
	random := rand.New(rand.NewSource(1))
	for _, size := range []int{0, 100, 250, 1000} {
		beat := heartbeatOf(1)
		for range size {
			beat.CacheAdded = append(beat.CacheAdded, random.Uint64())
		}
		bytes.add(size, float64(proto.Size(beat)))
	}
	return bytes
}

// heartbeatOf is the report of an engine under load.
func heartbeatOf(seq int64) *rpc.HeartbeatRequest {
	u := reportOfUpstream(17, 4, "planner", seq)
	return &rpc.HeartbeatRequest{
		Upstream: u.Name, DataAddress: u.DataAddress, ControlAddress: u.ControlAddress, DataCentre: u.DataCentre,
		Region: u.Region, Kind: fleetconfig.UpstreamEngine, Policy: u.Serves, Incarnation: u.Incarnation, ReportSeq: seq,
		Healthy: true, ActiveVersion: u.ActiveVersion, StagedVersions: u.StagedVersions, Running: 30, Queued: 3, Slots: 64,
		PendingTokens: 8000, TokensPerSecond: u.Load.TokensPerSecond, UsageFlushedSeq: seq * 19, HighestTerm: 12,
		WeightsUrl: u.WeightsURL,
	}
}

// introduce makes an entry know others, which then count as live for a few seconds.
func (n *node) introduce(count int) error {
	for i := 1; i < count; i++ {
		dc, region := place(i, 4)
		_, err := n.syncer.HandleSync(context.Background(), &rpc.SyncRequest{From: &rpc.EntryInfo{
			Name: fmt.Sprintf("entry-%d", i), PeerAddress: fmt.Sprintf("127.1.%d.%d:7103", i/250, i%250), DataCentre: dc,
			Region: region, Incarnation: fmt.Sprintf("7d4a1c0e-55b0-4a3a-8a35-%012d", i), AppliedRevision: 2500,
			ConfirmationAgeMs: 900,
		}})
		if err != nil {
			return err
		}
	}
	return nil
}
