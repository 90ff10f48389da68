package memory

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/radishshelf/radishshelf/hosting"
)

// Guards against an in-memory platform whose host lag, weight rate limit or call delay has no effect, and against a
// call that takes effect although its context ended during the delay.
func TestLagRateLimitAndDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New(Options{HostLag: 30 * time.Second, Hosts: []hosting.Host{{Name: "a"}}, WeightBytesPerSecond: 1 << 20})
		p.Hosts.Set(nil)
		time.Sleep(29 * time.Second)
		if hosts, err := p.Hosts.List(t.Context()); err != nil || len(hosts) != 1 {
			t.Errorf("before the lag: %v, %v", hosts, err)
		}
		time.Sleep(time.Second)
		if hosts, err := p.Hosts.List(t.Context()); err != nil || len(hosts) != 0 {
			t.Errorf("after the lag: %v, %v", hosts, err)
		}

		p.Weights.Put("fares", 1, make([]byte, 4<<20))
		start := time.Now()
		r, err := p.Weights.Open(t.Context(), "fares", 1)
		if err != nil {
			t.Fatal(err)
		}
		if n, err := io.Copy(io.Discard, r); err != nil || n != 4<<20 {
			t.Errorf("read %d bytes, %v", n, err)
		}
		if took := time.Since(start); took < 3900*time.Millisecond || took > 4*time.Second {
			t.Errorf("4 MiB at 1 MiB/s took %s", took)
		}

		p.Table.Faults.Set(Faults{Delay: 3 * time.Second})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := p.Table.Commit(ctx, hosting.Txn{Puts: []hosting.Put{{Key: "k"}}}); !hosting.IsKind(err, hosting.KindUnavailable) {
			t.Errorf("commit whose context ended before it took effect: %v", err)
		}
	})
}
