package idempotency_test

import (
	"fmt"

	"github.com/radishshelf/radishshelf/idempotency"
)

// The row of an idempotency key determines how a retry is handled.
func Example() {
	content := idempotency.ContentHash("POST", "/bookings", []byte(`{"slot":"a"}`))
	fmt.Println(idempotency.Decide(nil, content))
	row := &idempotency.Row{State: idempotency.Claimed, Content: content}
	fmt.Println(idempotency.Decide(row, content))
	row.State, row.Response = idempotency.Done, &idempotency.Response{Status: 201}
	fmt.Println(idempotency.Decide(row, content))
	fmt.Println(idempotency.Decide(row, idempotency.ContentHash("POST", "/bookings", []byte(`{"slot":"b"}`))))
	// Output:
	// send
	// unknown
	// replay
	// different
}
