package membership_test

import (
	"fmt"
	"time"

	"github.com/radishshelf/radishshelf/membership"
)

// The host list only adds candidates. A report makes a process live, and missing reports make it suspect and then dead.
func Example() {
	now := time.Date(2026, 3, 1, 10, 0, 0, 0, time.UTC)
	view := membership.New(membership.Options{
		HeartbeatInterval: time.Second, MissedHeartbeats: 3, DeadRetention: time.Minute,
	})
	view.SetHosts([]membership.Host{{Name: "engine-1", Role: membership.RoleUpstream, Address: "127.0.0.1:7211"}})
	show := func(now time.Time) {
		for _, u := range view.Upstreams(now) {
			fmt.Println(u.Name, u.Status)
		}
	}
	show(now)
	view.ApplyHeartbeat(membership.Upstream{
		Name: "engine-1", DataAddress: "127.0.0.1:7211", Incarnation: "run-1", ReportSeq: 1, Healthy: true,
	}, now)
	show(now)
	show(now.Add(2500 * time.Millisecond))
	show(now.Add(10 * time.Second))
	// Output:
	// engine-1 candidate
	// engine-1 live
	// engine-1 suspect
	// engine-1 dead
}
