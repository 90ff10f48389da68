package routing

import (
	"fmt"
	"math/rand"
	"testing"
)

// BenchmarkRoute measures one decision among 680 upstreams, the most that the system is designed for.
func BenchmarkRoute(b *testing.B) {
	cfg := DefaultConfig()
	cfg.DataCentre, cfg.Region = "dc0", "r0"
	matched := fixedPrefixes{}
	var candidates []Candidate
	for i := range 680 {
		c := Candidate{
			Name: fmt.Sprint("e", i), DataCentre: fmt.Sprint("dc", i%8), Region: fmt.Sprint("r", i%2), Serves: "p",
			Alive: true, Healthy: true, ReportedAt: start, PendingTokens: int64(i * 10), TokensPerSecond: 900,
		}
		candidates = append(candidates, c)
		if i%100 == 0 {
			matched[c.Name] = 20
		}
	}
	r := New(cfg, matched, NewInFlight(), rand.New(rand.NewSource(1)))
	req := Request{ID: "r", Serves: "p", Prefix: []uint64{1}, Bytes: 10_000}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := r.Route(req, candidates, start); err != nil {
			b.Fatal(err)
		}
	}
}
