package main

import (
	"fmt"
	"syscall"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/connguard"
	"github.com/radishshelf/radishshelf/connlimit"
	"github.com/radishshelf/radishshelf/serving"
	"github.com/radishshelf/radishshelf/telemetry"
)

const (
	// fileFDs is the number of descriptors that the platform keeps for files; sockets share the others.
	fileFDs = 200
	// callerSocketFraction is the fraction of the sockets for connections of callers. A request may have two connections to
	// upstreams beside its own, and further ones stay open for reuse.
	callerSocketFraction = 1.0 / 4
	// innerSocketFraction is the fraction of the sockets for the ports of readiness, peers and metrics together, so that they
	// answer beside any crowd of callers.
	innerSocketFraction = 1.0 / 8
	// callerMemoryFraction and innerMemoryFraction are the fractions of the memory for connections and request heads. Beside
	// bufferFraction they leave a tenth of the memory below memoryLimitFraction.
	callerMemoryFraction = 1.0 / 8
	innerMemoryFraction  = 1.0 / 32
)

// guards bound the connections of callers and those of the other ports.
type guards struct{ callers, inner *connguard.Guard }

// newGuards returns guards for a process with the given memory and descriptors. A process without a named number of descriptors
// has those that the system grants it.
func newGuards(registry *telemetry.Registry, log zerolog.Logger, memory int64, fds int, limits func() serving.Limits) (guards, error) {
	if fds == 0 {
		var granted syscall.Rlimit
		if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &granted); err != nil {
			return guards{}, fmt.Errorf("number of descriptors: %w; set limits.max_fds", err)
		}
		fds = int(min(granted.Cur, maxGrantedFDs))
	}
	sockets := float64(max(fds-fileFDs, fileFDs))
	newGuard := func(port string, socketFraction, memoryFraction float64, heads func() connguard.Heads) *connguard.Guard {
		closed := registry.NewCounter(fmt.Sprintf(`radishshelf_gateway_connections_closed_total{port=%q}`, port))
		g := connguard.New(connguard.Options{
			Limits: connlimit.Limits{
				Connections: max(1, int(socketFraction*sockets)), Bytes: int64(memoryFraction * float64(memory)),
			},
			Heads: heads,
			OnClose: func(reason connguard.Reason) {
				closed.Inc()
				log.Warn().Str("port", port).Str("reason", string(reason)).Msg("connection closed")
			},
		})
		registry.NewGauge(fmt.Sprintf(`radishshelf_gateway_connections{port=%q}`, port), func() float64 { return float64(g.Count()) })
		registry.NewGauge(fmt.Sprintf(`radishshelf_gateway_connection_bytes{port=%q}`, port), func() float64 { return float64(g.Bytes()) })
		return g
	}
	return guards{
		callers: newGuard("callers", callerSocketFraction, callerMemoryFraction, func() connguard.Heads { return callerHeads(limits()) }),
		inner: newGuard("inner", innerSocketFraction, innerMemoryFraction, func() connguard.Heads {
			return connguard.Heads{Bytes: defaultHeaderBytes, Timeout: defaultHeaderTimeout}
		}),
	}, nil
}

// maxGrantedFDs bounds the descriptors that are counted on where the system grants any number.
const maxGrantedFDs = 1 << 20

// callerHeads returns the configured limits on heads, and the defaults until the configuration is read or where it has none.
func callerHeads(l serving.Limits) connguard.Heads {
	heads := connguard.Heads{Bytes: l.HeaderBytes, Timeout: l.HeaderTimeout}
	if heads.Bytes == 0 {
		heads.Bytes = defaultHeaderBytes
	}
	if heads.Timeout == 0 {
		heads.Timeout = defaultHeaderTimeout
	}
	return heads
}
