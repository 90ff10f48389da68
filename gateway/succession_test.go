package gateway

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/batch"
	"github.com/radishshelf/radishshelf/presence"
	"github.com/radishshelf/radishshelf/rendezvous"
)

// stop stops a gateway as planned.
func (w *testCluster) stop(g *Gateway) {
	w.t.Helper()
	g.Leave(time.Now().Add(time.Second))
	ctx, cancel := context.WithTimeout(w.t.Context(), time.Second)
	defer cancel()
	g.Stop(ctx)
	w.kill(g.opts.Host)
}

// heartbeatOf returns the last heartbeat of a host that a gateway knows.
func heartbeatOf(g *Gateway, host string) presence.Heartbeat {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, b := range g.peers.All() {
		if b.Host == host {
			return b
		}
	}
	return presence.Heartbeat{}
}

// age makes gateways appear to have run for an hour longer.
func (w *testCluster) age(gateways ...*Gateway) {
	w.t.Helper()
	for _, g := range gateways {
		w.eventually("the start is known", func() bool { g.mu.Lock(); defer g.mu.Unlock(); return g.processStart() != 0 })
		g.mu.Lock()
		g.startedAtStore -= time.Hour
		start := g.startedAtStore
		g.mu.Unlock()
		w.eventually("the others know the age", func() bool {
			return heartbeatOf(gateways[0], g.opts.Host).StartedAt == start
		})
	}
}

// Guards against a job that a stopping host hands to one that a rolling restart stops next, although a host that was
// restarted already can go on with it.
func TestReleasedJobGoesToARestartedHost(t *testing.T) {
	w := newTestCluster(t)
	a, b, c := w.startWithCPUShare("a", 50), w.start("b"), w.start("c") // jobs go to a
	w.stop(b)
	w.age(a, c)
	b = w.start("b")
	for _, g := range []*Gateway{a, c} {
		w.eventually("b can take over jobs", func() bool {
			hb := heartbeatOf(g, "b")
			return hb.Incarnation == b.opts.Incarnation && hb.Sequence >= settledHeartbeats
		})
	}
	if heartbeatOf(a, "b").AfterCrash {
		t.Error("a planned stop counts as a crash")
	}
	w.upstreams.script(respondAfter(300 * time.Millisecond))
	items := testItems(20)
	var jobs []string
	for i := 0; len(jobs) < 3; i++ {
		if id := fmt.Sprint("job-", i); rendezvous.Weight(id, "c") > rendezvous.Weight(id, "b") {
			w.mustSubmit(a, id, items...)
			jobs = append(jobs, id)
		}
	}
	for _, id := range jobs {
		w.eventually("a runs the job", func() bool { return owner(a, id) == "a" })
	}
	a.Leave(time.Now().Add(10 * time.Second))
	for _, id := range jobs {
		w.checkExactlyOnce(w.readAll(c, id), items)
		if got := owner(c, id); got != "b" {
			t.Errorf("%s goes on at %s, want b", id, got)
		}
	}
}

// Guards against a host that crashes again and again and gets jobs each time because it was started lately.
func TestHostAfterACrashSaysSo(t *testing.T) {
	w := newTestCluster(t)
	a := w.start("a")
	w.start("b")
	w.eventually("b is known", func() bool { return heartbeatOf(a, "b").Sequence > 0 })
	w.kill("b")
	b := w.start("b")
	w.eventually("b is known again", func() bool { return heartbeatOf(a, "b").Incarnation == b.opts.Incarnation })
	if !heartbeatOf(a, "b").AfterCrash {
		t.Error("a crash counts as a planned stop")
	}
}

// Guards against a hand-over whose cost cannot be seen: the time without an owner, the texts that go on and the delay until
// all of them do.
func TestHandOverIsMeasured(t *testing.T) {
	w := newTestCluster(t)
	a, b := w.startWithCPUShare("a", 50), w.start("b")
	w.upstreams.script(respondAfter(time.Second))
	items := testItems(4)
	w.mustSubmit(a, "job-1", items...)
	w.eventually("a runs the job", func() bool { return owner(a, "job-1") == "a" && w.sentTo("e1") == 4 })
	a.mu.Lock()
	begun := a.jobs["job-1"].owned.job.Items()[0]
	begun.Text.Append(1, "event 1", 1) // as if an engine had made it
	a.mu.Unlock()
	a.Leave(time.Now().Add(10 * time.Second))
	w.checkExactlyOnce(w.readAll(b, "job-1"), items)
	if !strings.Contains(metricsOf(b), "radishshelf_gateway_without_owner_seconds_count 1") ||
		!strings.Contains(metricsOf(b), "radishshelf_gateway_resumed_texts_sum 1") ||
		!strings.Contains(metricsOf(b), "radishshelf_gateway_resume_delay_seconds_count 1") {
		t.Errorf("%s", metricsOf(b))
	}
}

// metricsOf returns the metrics of a gateway about hand-overs.
func metricsOf(g *Gateway) string {
	var all bytes.Buffer
	g.opts.Registry.WritePrometheus(&all)
	var list []string
	for line := range strings.Lines(all.String()) {
		if strings.Contains(line, "without_owner") || strings.Contains(line, "resume") {
			list = append(list, line)
		}
	}
	return strings.Join(list, "")
}

// Guards against a live owner that loses its job to a host which has not heard of its start yet, and against a host that
// takes the first turn because it does not know its own heartbeat yet.
func TestOwnerThatHasJustStartedIsNotDisplaced(t *testing.T) {
	w := newTestCluster(t)
	g := w.start("a")
	w.waitForPeers(g)
	g.mu.Lock()
	defer g.mu.Unlock()
	e := &jobEntry{id: "job", record: batch.Record{Host: testHost, PathPrefix: "/rollout/", Total: 3}}
	g.jobs["job"] = e
	defer delete(g.jobs, "job")
	since, now := map[string]orphanedJob{}, time.Now()
	g.heartbeatStoredAt = now.Add(time.Second)
	since["job"] = orphanedJob{since: now.Add(-time.Second)} // released a second ago
	e.record.Owner, e.record.OwnerIncarnation, e.ownerChangedAt = "b", "started just now", now
	g.peers.Observe(presence.Heartbeat{Host: "b", Incarnation: "before", Sequence: 9})
	if due := g.dueOrphans(now, since); len(due) > 0 {
		t.Error("the job is taken from an owner that has just started")
	}
	if due := g.dueOrphans(now.Add(unheardOwnerDelay-time.Millisecond), since); len(due) > 0 {
		t.Error("the job is taken before the first heartbeat of its owner may have arrived")
	}
	if due := g.dueOrphans(now.Add(unheardOwnerDelay+adoptRankDelay), since); len(due) > 0 {
		t.Error("the wait for a turn does not start with the loss of the owner")
	}
	live := []presence.Heartbeat{{Host: "b"}, {Host: "c"}}
	if rank := adoptRank(live, "job", "a", &e.record); rank != 2 {
		t.Errorf("a host that has not seen its own heartbeat has rank %d of 2 others", rank)
	}
}
