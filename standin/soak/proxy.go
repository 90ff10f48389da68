package soak

import (
	"net"
	"sync"
	"time"
)

// LinkFaults are the faults that a proxy injects into its connections. The zero value forwards everything.
type LinkFaults struct {
	// Delay is added to each chunk that is forwarded.
	Delay time.Duration
	// DropToTarget and DropFromTarget discard the bytes to and from the target. The connections stay open.
	DropToTarget, DropFromTarget bool
	// Refuse closes new connections immediately.
	Refuse bool
}

// Proxy forwards TCP connections to a target and injects faults. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	faults LinkFaults
	// conns holds the connection to the target for each accepted one.
	conns map[net.Conn]net.Conn
}

// newProxy starts a proxy to target on a loopback port.
func newProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, conns: map[net.Conn]net.Conn{}}
	go p.accept()
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetFaults replaces the injected faults, also for open connections.
func (p *Proxy) SetFaults(l LinkFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = l
}

// Reset resets every open connection.
func (p *Proxy) Reset() { p.reset(func(open int) int { return open }) }

// ResetHalf resets half of the open connections, rounded down.
func (p *Proxy) ResetHalf() { p.reset(func(open int) int { return open / 2 }) }

// reset resets as many of the open connections as count returns.
func (p *Proxy) reset(count func(open int) int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	left := count(len(p.conns))
	for accepted, target := range p.conns {
		if left--; left < 0 {
			return
		}
		for _, c := range []net.Conn{accepted, target} {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // makes Close send RST; fails if the connection is closed
			}
			c.Close()
		}
	}
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	p.listener.Close()
	p.Reset()
}

func (p *Proxy) currentFaults() LinkFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.currentFaults().Refuse {
			conn.Close()
			continue
		}
		go p.serve(conn)
	}
}

func (p *Proxy) serve(conn net.Conn) {
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		conn.Close()
		return
	}
	p.track(conn, target)
	defer p.forget(conn)
	var done sync.WaitGroup
	done.Go(func() { p.copyBytes(target, conn, func(l LinkFaults) bool { return l.DropToTarget }) })
	done.Go(func() { p.copyBytes(conn, target, func(l LinkFaults) bool { return l.DropFromTarget }) })
	done.Wait()
}

// track adds an open connection with the one to its target.
func (p *Proxy) track(accepted, target net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[accepted] = target
}

// forget removes a closed connection.
func (p *Proxy) forget(accepted net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, accepted)
}

// copyBytes copies until either side closes, and then closes both.
func (p *Proxy) copyBytes(to, from net.Conn, isDropped func(LinkFaults) bool) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			link := p.currentFaults()
			if link.Delay > 0 {
				time.Sleep(link.Delay)
			}
			if !isDropped(link) {
				if _, err := to.Write(buffer[:n]); err != nil {
					return
				}
			}
		}
		if err != nil {
			return
		}
	}
}
