package slopes

import (
	"math/rand"
	"runtime"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/radishshelf/radishshelf/admission"
	"github.com/radishshelf/radishshelf/quota"
	"github.com/radishshelf/radishshelf/rpc"
)

// measureAdmission shows the cost of a queued request and of a quota decision by workspaces.
func measureAdmission(r *Report) error {
	r.heading("admission and quota: in memory, by workspaces; 2,000 requests are queued all the time")
	cpu := newSeries("admission.cpu_per_request", "workspaces", "us")
	memory := newSeries("admission.memory", "workspaces", "B")
	for _, size := range []int{8, 100, 400, 1000} {
		before := heapBytes()
		q := filledQueue(size)
		memory.add(size, heapBytes()-before)
		cpu.add(size, costOfEach(2000, func(i int) { passQueue(q, i, size) }))
		runtime.KeepAlive(q)
	}
	r.print(cpu, memory)
	take := newSeries("quota.cpu_per_request", "workspaces", "us")
	shares := newSeries("quota.memory_shares", "workspaces", "B")
	for _, size := range []int{8, 100, 1000} {
		before := heapBytes()
		s := quota.NewShares(quota.DefaultConfig())
		now := time.Now()
		for i := range size {
			s.Take("workspace-"+strconv.Itoa(i), 1e6, 1, now)
		}
		shares.add(size, heapBytes()-before)
		take.add(size, costOfEach(50_000, func(i int) {
			s.Take("workspace-"+strconv.Itoa(i%size), 1e12, 200, now)
			s.Adjust("workspace-"+strconv.Itoa(i%size), -20, now)
		}))
		runtime.KeepAlive(s)
	}
	r.print(take, shares)
	return granterByEntries(r)
}

// queued is the number of requests that wait in the measured queue.
const queued = 2000

func filledQueue(workspaces int) *admission.Queue {
	config := admission.DefaultConfig()
	config.WindowTokens, config.WindowItems, config.MaxItems = 200, 1, 2*queued
	q := admission.New(config, rand.New(rand.NewSource(1)))
	now := time.Now()
	for i := range queued + 1 {
		q.Offer(queueItem(i, workspaces), now)
	}
	return q
}

func queueItem(i, workspaces int) admission.Item {
	return admission.Item{
		ID: strconv.Itoa(i), Key: "key", Workspace: "workspace-" + strconv.Itoa(i%workspaces), Cost: 200,
		Service: time.Second,
	}
}

// passQueue takes one request in and one out, so that the queue keeps its length.
func passQueue(q *admission.Queue, i, workspaces int) {
	now := time.Now()
	q.Offer(queueItem(queued+1+i, workspaces), now)
	q.Expire(now)
	if item, ok := q.Next(now); ok {
		q.Done(item.ID, 190, now)
	}
}

// granterByEntries shows the work of the quota holder for one request of an entry with 50 active workspaces.
func granterByEntries(r *Report) error {
	const active = 50
	cpu := newSeries("quota.cpu_per_grant_request", "entries", "us")
	memory := newSeries("quota.memory_granter", "entries", "B")
	var demands []quota.Demand
	for i := range active {
		demands = append(demands, quota.Demand{Workspace: "workspace-" + strconv.Itoa(i), TokensPerSecond: 50})
	}
	limit := func(string) float64 { return 100_000 }
	for _, size := range []int{10, 100, 350} {
		before := heapBytes()
		config := quota.DefaultConfig()
		config.MaxEntries = size
		now := time.Now()
		g := quota.NewGranter(config, now.Add(-time.Minute))
		for i := range size {
			g.Request("entry-"+strconv.Itoa(i), demands, limit, now)
		}
		memory.add(size, heapBytes()-before)
		cpu.add(size, costOfEach(700, func(i int) {
			g.Request("entry-"+strconv.Itoa(i%size), demands, limit, now.Add(time.Duration(i)*time.Millisecond))
		}))
		runtime.KeepAlive(g)
	}
	r.print(cpu, memory, grantMessages())
	return nil
}

// grantMessages shows the size of the request for grants and its reply together; an entry sends one every second.
func grantMessages() *Series {
	bytes := newSeries("quota.bytes_per_grant_request", "workspaces", "B")
	for _, size := range []int{10, 50, 100} {
		request := &rpc.QuotaRequest{Entry: "entry-100"}
		reply := &rpc.QuotaResponse{Holder: true, Term: 6}
		for i := range size {
			name := "workspace-" + strconv.Itoa(i)
			request.Demands = append(request.Demands, &rpc.QuotaDemand{Workspace: name, TokensPerSecond: 51.4})
			reply.Grants = append(reply.Grants, &rpc.QuotaGrant{Workspace: name, TokensPerSecond: 25.7, ValidMs: 3000})
		}
		bytes.add(size, float64(proto.Size(request)+proto.Size(reply)))
	}
	return bytes
}
