package upstreams

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a cached list of ready upstreams that is out of date after any series of changes.
func TestReadyFollowsEveryChange(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		v := NewView()
		now := time.Unix(100, 0)
		for range rapid.IntRange(1, 40).Draw(rt, "changes") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "pause")) * time.Millisecond)
			id := fmt.Sprint("u", rapid.IntRange(0, 4).Draw(rt, "id"))
			switch rapid.IntRange(0, 7).Draw(rt, "change") {
			case 0:
				v.Remove(id, now)
			case 1:
				v.Discard(id)
			case 2:
				v.StoreUnavailable()
			case 3:
				v.StoreAvailable(now)
			case 4:
				v.Expire(now)
			case 5:
				v.Replace([]Entry{{ID: id, Service: "s", State: Ready}}, now)
			case 6:
				v.MarkLeaving(id, 0)
			default:
				v.Put(Entry{ID: id, Service: "s", State: rapid.SampledFrom([]State{Ready, Draining}).Draw(rt, "state")})
			}
			var want []string
			for _, e := range v.All() {
				if e.Service == "s" && e.State == Ready {
					want = append(want, e.ID)
				}
			}
			var got []string
			for _, e := range v.Ready("s") {
				got = append(got, e.ID)
			}
			if !slices.Equal(got, want) {
				rt.Fatalf("ready %v, want %v", got, want)
			}
		}
	})
}
