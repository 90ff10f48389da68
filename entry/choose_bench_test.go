package entry

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/dataplane"
	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/membership"
	"github.com/radishshelf/radishshelf/prefixindex"
)

// BenchmarkChoose measures the selection of an upstream for one request among 680 engines, the design size.
func BenchmarkChoose(b *testing.B) {
	f := NewFleet("dc1", "sudur", rand.New(rand.NewSource(1)))
	now := time.Now()
	for i := range 680 {
		name := fmt.Sprintf("engine-%03d", i)
		f.ApplyHeartbeat(membership.Upstream{
			Name: name, DataAddress: "127.0.0.1:1", DataCentre: fmt.Sprintf("dc%d", i%8), Region: "sudur",
			Kind: fleetconfig.UpstreamEngine, Serves: "toll", Incarnation: "1", ReportSeq: 1, Healthy: true, ActiveVersion: 7,
			Load: dataplane.Load{Slots: 8, Running: 2},
		}, prefixindex.Event{Upstream: name, Incarnation: "1", Seq: 1}, nil, now)
	}
	view := fleetconfig.NewState().View()
	j := &job{destination: destination{kind: fleetconfig.UpstreamEngine, serves: "toll"}, cost: 200}
	for i := 0; b.Loop(); i++ {
		j.id = fmt.Sprint(i)
		choice, err := f.choose(j, 1, nil, view, now)
		if err != nil {
			b.Fatal(err)
		}
		f.release(choice)
	}
}
