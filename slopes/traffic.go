package slopes

import (
	"net"
	"sync/atomic"
)

// traffic counts the bytes above TCP on the connections of a listener, and the requests.
type traffic struct{ in, out, requests atomic.Int64 }

func (t *traffic) bytes() float64 { return float64(t.in.Load() + t.out.Load()) }

// countedListener counts the bytes of the connections that it accepts.
type countedListener struct {
	net.Listener
	traffic *traffic
}

func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{Conn: conn, traffic: l.traffic}, nil
}

type countedConn struct {
	net.Conn
	traffic *traffic
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.in.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.out.Add(int64(n))
	return n, err
}
