package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/radishshelf/radishshelf/platform/platformtest"
)

const (
	// plainUpstreams is the number of upstreams that are plain services.
	plainUpstreams = 3
	// heartbeatInterval is how often an upstream writes its entry. The entry is removed entryTTL after a crash.
	heartbeatInterval = 400 * time.Millisecond
	entryTTL          = 3 * heartbeatInterval
	// eventInterval is the time before each event of a text at an engine that is not slow.
	eventInterval = 20 * time.Millisecond
	// restartDelay is the time until the replacement of a stopped upstream starts.
	restartDelay = 800 * time.Millisecond
)

// upstream is a stand-in upstream with its server.
type upstream struct {
	*platformtest.Upstream
	server *http.Server
	// link is the path from the gateways to the upstream.
	link     *Proxy
	done     chan struct{}
	stopOnce sync.Once
	// limiting is set while the upstream names a limit.
	limiting atomic.Bool
}

// upstreamSet holds the running upstreams. All methods are safe for concurrent use.
type upstreamSet struct {
	mu   sync.Mutex
	list []*upstream
	// nextNumber is the number of the next upstream to be started. The names of replacements contain their number.
	nextNumber int
	closed     bool
}

// reserveNumber returns a number that no other upstream has.
func (s *upstreamSet) reserveNumber() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	number := s.nextNumber
	s.nextNumber++
	return number
}

// pick returns a random upstream.
func (s *upstreamSet) pick(r *rand.Rand) *upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list[r.IntN(len(s.list))]
}

// plain returns the upstreams that are plain services.
func (s *upstreamSet) plain() []*upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(s.list), func(u *upstream) bool { return !u.Plain })
}

// engines returns the upstreams that are engines.
func (s *upstreamSet) engines() []*upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(s.list), func(u *upstream) bool { return u.Plain })
}

// close stops all upstreams. Upstreams that are added later are stopped immediately.
func (s *upstreamSet) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, u := range s.list {
		u.stop()
	}
}

// stop closes the listener and all connections, and ends the heartbeats.
func (u *upstream) stop() {
	u.stopOnce.Do(func() {
		close(u.done)
		u.link.Close()
		u.server.Close()
	})
}

// addUpstream starts an upstream that is replaced when it crashes.
func (s *Soak) addUpstream(id, service string) (*upstream, error) {
	return s.startUpstream(s.upstreams.reserveNumber(), id, service)
}

// startUpstream starts an upstream with a reserved number.
func (s *Soak) startUpstream(number int, id, service string) (*upstream, error) {
	u := &upstream{done: make(chan struct{}), Upstream: &platformtest.Upstream{
		ID: id, Service: service, Plain: service == platformtest.PlainService, Slots: 8, EventInterval: eventInterval,
		ProcessingTime: 15 * time.Millisecond, OnRun: s.checker.recordRun, OnEnd: s.checker.recordEnd, OnOrder: s.checker.recordOrder, CrashPath: crashPath,
	}}
	u.OnCrash = func() { s.replace(u, entryTTL, restartDelay) }
	if !u.Plain {
		u.SetVersions(map[string]int64{platformtest.Model: 1})
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	if u.link, err = newProxy(listener.Addr().String()); err != nil {
		listener.Close()
		return nil, err
	}
	u.server = &http.Server{Handler: u.Upstream}
	go func() { _ = u.server.Serve(listener) }() // returns when the server is closed
	s.upstreams.mu.Lock()
	defer s.upstreams.mu.Unlock()
	if s.upstreams.closed {
		u.stop()
		return u, nil
	}
	s.upstreams.list = append(s.upstreams.list, u)
	s.checker.recordUpstream(id, dataCentre(number+1))
	go s.writeHeartbeats(u, u.link.Address(), dataCentre(number+1))
	return u, nil
}

// writeHeartbeats writes the entry of an upstream every heartbeatInterval until the upstream stops.
func (s *Soak) writeHeartbeats(u *upstream, address, dataCentre string) {
	for sequence := int64(1); ; sequence++ {
		select {
		case <-u.done:
			return
		default:
			s.store.Put(platformtest.UpstreamTable, u.ID, u.Entry(address, dataCentre, sequence))
		}
		time.Sleep(heartbeatInterval)
	}
}

// replace stops an upstream, removes its entry after removeDelay and starts an upstream of the same service after
// startDelay.
func (s *Soak) replace(u *upstream, removeDelay, startDelay time.Duration) {
	s.upstreams.mu.Lock()
	i := slices.Index(s.upstreams.list, u)
	if i < 0 {
		s.upstreams.mu.Unlock()
		return // already replaced
	}
	s.upstreams.list = slices.Delete(s.upstreams.list, i, i+1)
	s.upstreams.mu.Unlock()
	// Other upstreams may stop before the replacement starts, so its number is reserved now.
	number := s.upstreams.reserveNumber()
	next := fmt.Sprintf("%s-%d", u.Service, number)
	s.history.record("upstream %s stopped", u.ID)
	u.stop()
	time.AfterFunc(removeDelay, func() { s.store.Delete(platformtest.UpstreamTable, u.ID) })
	time.AfterFunc(startDelay, func() {
		if _, err := s.startUpstream(number, next, u.Service); err != nil {
			s.history.recordViolation("upstream %s did not start: %v", next, err)
		}
	})
}
