package agent

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/radishshelf/radishshelf/dataplane"
	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/rpc"
	"github.com/radishshelf/radishshelf/telemetry"
)

// Guards against a forwarded request that reaches the control or admin API of an upstream or has no timeout, and
// against headers that crash the agent.
func FuzzParseCall(f *testing.F) {
	f.Fuzz(func(t *testing.T, id, method, target, timeout, priority string, engine bool) {
		h := http.Header{}
		h.Set(dataplane.HeaderRequestID, id)
		h.Set(dataplane.HeaderMethod, method)
		h.Set(dataplane.HeaderTarget, target)
		h.Set(dataplane.HeaderTimeout, timeout)
		h.Set(dataplane.HeaderPriority, priority)
		kind := fleetconfig.UpstreamService
		if engine {
			kind = fleetconfig.UpstreamEngine
		}
		c, err := parseCall(h, kind)
		if err != nil {
			return
		}
		if c.timeout > maxTimeout {
			t.Errorf("timeout %q was parsed as %s", timeout, c.timeout)
		}
		if strings.HasPrefix(timeout, "-") && c.timeout > 0 {
			t.Errorf("the negative timeout %q was parsed as %s", timeout, c.timeout)
		}
		req, err := http.NewRequest(c.method, "http://upstream"+c.target, nil)
		if err != nil {
			return // the request fails before a byte is sent
		}
		if strings.HasPrefix(req.URL.Path, adminPrefix) || (engine && !strings.HasPrefix(req.URL.Path, enginePrefix)) {
			t.Errorf("target %q reaches the path %q", target, req.URL.Path)
		}
	})
}

// Guards against a response of an engine that crashes the agent, yields negative token counts, or yields different
// counts when it is split differently.
func FuzzLabelReader(f *testing.F) {
	f.Fuzz(func(t *testing.T, body []byte, stream bool, cut uint16) {
		contentType := "application/json"
		if stream {
			contentType = "text/event-stream"
		}
		whole, parts := newLabelReader(contentType), newLabelReader(contentType)
		whole.write(body)
		whole.finish()
		at := int(cut) % (len(body) + 1)
		parts.write(body[:at])
		parts.write(body[at:])
		parts.finish()
		prompt, completion := whole.tokenCounts()
		if prompt < 0 || completion < 0 || whole.tokens < 0 {
			t.Errorf("counts %d, %d, labelled %d", prompt, completion, whole.tokens)
		}
		if p, c := parts.tokenCounts(); p != prompt || c != completion || parts.complete != whole.complete {
			t.Errorf("in two parts: counts %d, %d, done %t; whole: %d, %d, %t", p, c, parts.complete, prompt, completion, whole.complete)
		}
	})
}

// Guards against a heartbeat reply that crashes the agent, or makes it refuse a request for longer than it keeps
// suspects.
func FuzzHeartbeatReply(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		var reply rpc.HeartbeatResponse
		if proto.Unmarshal(data, &reply) != nil {
			return
		}
		retention := DefaultSettings().SuspectTime.D()
		s := newSuspects(retention)
		now := time.Now()
		s.recordReported(reply.Quarantined, now)
		for _, q := range reply.Quarantined {
			if s.check(q.Fingerprint, true, now.Add(retention+time.Millisecond)) != nil {
				t.Errorf("%v is refused after the retention time", q)
			}
		}
		entries := newEntryList("agent-1", []string{"127.0.0.1:1"})
		entries.update(reply.Entries)
		if n := len(entries.targets()); n == 0 || n > maxHeartbeatTargets {
			t.Errorf("%d heartbeat targets", n)
		}
		receiveReply(&reply)
	})
}

// receiveReply passes the wanted state of the reply to an agent without an engine.
func receiveReply(reply *rpc.HeartbeatResponse) {
	a := &Agent{settings: Settings{Serves: "planner"}}
	a.metrics = newAgentMetrics(telemetry.NewRegistry(), newAdmission(1, 1))
	a.reconciler = newOrderReconciler(a)
	a.reconciler.receiveWanted("entry-1", reply.Wanted)
	a.reconciler.finishRound(1)
}
