package slopes

import (
	"context"
	"net/http"
	"strconv"

	"github.com/radishshelf/radishshelf/idempotency"
	"github.com/radishshelf/radishshelf/standin/memory"
)

// measureClaims shows the writes of non-idempotent requests that carry an idempotency key.
func measureClaims(r *Report) error {
	r.heading("claims: non-idempotent requests with an idempotency key, answers of 500 B")
	writes := newSeries("claims.writes", "requests", "1")
	bytes := newSeries("claims.bytes", "requests", "B")
	cpu := newSeries("claims.cpu_per_request", "requests", "us")
	for _, size := range []int{100, 400, 1600} {
		table := newCountedTable(memory.New(memory.Options{}).Table)
		store := idempotency.NewStore(table, "entry-1", 1e6)
		var failed error
		cpu.add(size, costOfEach(size, func(i int) {
			claim, _, err := store.Claim(context.Background(), idempotency.Request{
				Workspace: "workspace-1", Key: "booking-" + strconv.Itoa(i),
				Content: idempotency.Content(http.MethodPost, "/book", []byte("body")), RequestID: "4f0c2b1e-8d1a-4c44-9a55",
			})
			if err == nil {
				err = claim.Finish(context.Background(), &idempotency.Answer{Status: http.StatusOK, Body: make([]byte, 500)})
			}
			if err != nil {
				failed = err
			}
		}))
		if failed != nil {
			return failed
		}
		writes.add(size, table.total().Writes)
		bytes.add(size, table.total().Bytes)
	}
	r.print(writes, bytes, cpu)
	return nil
}
