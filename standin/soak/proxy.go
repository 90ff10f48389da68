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
	conns  map[net.Conn]bool
}

// newProxy starts a proxy to target on a loopback port.
func newProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, conns: map[net.Conn]bool{}}
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
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // makes Close send RST; fails if the connection is closed
		}
		c.Close()
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
	p.track(conn, target, true)
	defer p.track(conn, target, false)
	var done sync.WaitGroup
	done.Go(func() { p.copyBytes(target, conn, func(l LinkFaults) bool { return l.DropToTarget }) })
	done.Go(func() { p.copyBytes(conn, target, func(l LinkFaults) bool { return l.DropFromTarget }) })
	done.Wait()
}

// track adds or removes both sides of a connection.
func (p *Proxy) track(a, b net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range []net.Conn{a, b} {
		if open {
			p.conns[c] = true
		} else {
			delete(p.conns, c)
		}
	}
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
