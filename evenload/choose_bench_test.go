package evenload

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkChoose measures one choice among 300 upstreams, with the measurements of all of them.
func BenchmarkChoose(b *testing.B) {
	times, requests := NewResponseTimes(), map[string]int{}
	var ids []string
	for i := range 300 {
		id := fmt.Sprint("u", i)
		ids = append(ids, id)
		requests[id] = i % 7
		times.Sent(id, start)
		times.Observe("plain", id, 0, time.Duration(20+i%5)*time.Millisecond, start)
	}
	peers := NewPeerLoad([]Report{{HeardAt: start, Requests: requests}}, ids, times.Lifetime(), start)
	chooser, now := NewChooser(rand.Float64), start.Add(time.Second)
	b.ReportAllocs()
	for b.Loop() {
		options := make([]Option, 0, len(ids))
		for _, id := range ids {
			options = append(options, Option{
				ID: id, Slots: 6, Peers: peers.Expected(id, now), Share: times.Recent(id, now), Slowness: times.Slowness(id, now),
			})
		}
		chooser.Choose(Request{}, options, now)
	}
}
