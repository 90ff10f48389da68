package ordermanager

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/rs/zerolog"
)

// Guards against an unreadable intent row that stops the orders of all pools, against an order for its pool before the
// row is repaired, which could repeat an earlier one, and against a line for each round.
func TestUnreadableIntentBlocksNoOtherPool(t *testing.T) {
	key := Intent{Pool: failingPool}.key()
	for _, value := range []string{
		`{"pool":`, `null`, `{"format":2,"payload":"AAEC"}`,
		`{"pool":{"data_centre":"sudur","kind":"engine:fares"},"number":6,"count":2,"state":"done"}`,
		`{"pool":{"data_centre":"sudur","kind":"engine:fares"},"generation":6,"count":2,"state":"withdrawn"}`,
	} {
		t.Run(value, func(t *testing.T) {
			var out bytes.Buffer
			e := newPoolEnv(t, zerolog.New(&out))
			e.putRow(key, value)
			if err := e.runRounds(); err == nil || !strings.Contains(err.Error(), key) {
				t.Errorf("rounds with an unreadable row returned %v, want an error with %s", err, key)
			}
			want := fmt.Sprintf("map[%s#1:1]", laterPool)
			if got := fmt.Sprint(e.orders()); got != want {
				t.Errorf("orders %s, want %s", got, want)
			}
			if lines := countLines(t, &out, key); lines != 1 || e.manager.skippedRows.Get() != 1 {
				t.Errorf("%d lines for the row, counter %d; want 1 and 1", lines, e.manager.skippedRows.Get())
			}
			e.repairIntent(Intent{Pool: failingPool, Generation: 6, Count: 2, State: IntentDone, Term: 1})
			if err := e.runRounds(); err != nil {
				t.Errorf("rounds after the repair: %v", err)
			}
			want = fmt.Sprintf("map[%s#7:1 %s#1:1]", failingPool, laterPool)
			if got := fmt.Sprint(e.orders()); got != want {
				t.Errorf("orders after the repair %s, want %s", got, want)
			}
		})
	}
}

func (e *poolEnv) repairIntent(intent Intent) {
	e.t.Helper()
	value, err := json.Marshal(intent)
	if err != nil {
		e.t.Fatal(err)
	}
	e.putRow(intent.key(), string(value))
}

// countLines returns the number of "row skipped" lines that name key and an error.
func countLines(t *testing.T, out *bytes.Buffer, key string) int {
	t.Helper()
	count := 0
	for line := range strings.Lines(out.String()) {
		var fields struct{ Message, Key, Error string }
		if err := json.Unmarshal([]byte(line), &fields); err != nil {
			t.Fatal(err)
		}
		if fields.Message == "row skipped" && fields.Key == key && fields.Error != "" {
			count++
		}
	}
	return count
}
