package slopes

import (
	"math/rand"
	"runtime"
	"strconv"
	"time"

	"github.com/radishshelf/radishshelf/prefixindex"
)

// measurePrefixes shows the memory of the prefix index.
func measurePrefixes(r *Report) error {
	r.heading("prefixindex: memory by blocks, for one and for eight holders of each block")
	for _, holders := range []int{1, 8} {
		memory := newSeries("prefixindex.memory_holders_"+strconv.Itoa(holders), "blocks", "B")
		for _, size := range []int{10_000, 50_000, 100_000} {
			before := heapBytes()
			index := prefixindex.New(prefixindex.DefaultConfig())
			random := rand.New(rand.NewSource(1))
			now := time.Now()
			for i := range size {
				block := []uint64{random.Uint64()}
				for k := range holders {
					index.Routed("engine-"+strconv.Itoa((i+k)%680), block, now)
				}
			}
			memory.add(size, heapBytes()-before)
			runtime.KeepAlive(index)
		}
		r.print(memory)
	}
	return nil
}
