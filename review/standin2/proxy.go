package standin2

import (
	"net"
	"sync"
	"time"
)

// Proxy passes connections on to an address and delays the bytes of both directions, like a link between two regions.
type Proxy struct {
	listener net.Listener
	target   string
	delay    time.Duration
	mu       sync.Mutex
	conns    map[net.Conn]bool
}

// NewProxy starts a proxy on a free loopback port.
func NewProxy(target string, delay time.Duration) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, delay: delay, conns: map[net.Conn]bool{}}
	go p.run()
	return p, nil
}

// Address returns host:port.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

func (p *Proxy) run() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *Proxy) serve(c net.Conn) {
	time.Sleep(p.delay) // the opening packet
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		c.Close()
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[out] = true, true
	p.mu.Unlock()
	go p.copy(c, out)
	p.copy(out, c)
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, out)
	p.mu.Unlock()
}

// chunk is a piece of a byte stream with the time at which it is due; no data means the end.
type chunk struct {
	data []byte
	due  time.Time
}

// copy passes bytes on from a to b.
func (p *Proxy) copy(a, b net.Conn) {
	queue := make(chan chunk, 4096)
	go func() {
		defer close(queue)
		for {
			data := make([]byte, 32<<10)
			n, err := a.Read(data)
			if n > 0 {
				queue <- chunk{data[:n], time.Now().Add(p.delay)}
			}
			if err != nil {
				queue <- chunk{nil, time.Now().Add(p.delay)}
				return
			}
		}
	}()
	for c := range queue {
		time.Sleep(time.Until(c.due))
		if c.data == nil {
			break
		}
		if _, err := b.Write(c.data); err != nil {
			break
		}
	}
	a.Close()
	b.Close()
	for range queue {
	}
}
