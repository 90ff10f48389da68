package main

import (
	"bufio"
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// link is the path from the machines of the system to one server. While it is cut, it passes on no bytes either way; what was
// sent over a connection that its sender closes meanwhile is lost.
type link struct {
	target   string
	listener net.Listener

	mu     sync.Mutex
	cut    bool
	healed chan struct{}
	// open holds the connections that pass on bytes, with both of their ends.
	open map[net.Conn]net.Conn
}

func newLink(target string) *link {
	l := &link{target: target, listener: listen(), healed: make(chan struct{}), open: map[net.Conn]net.Conn{}}
	close(l.healed)
	go l.serve()
	return l
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if cut == l.cut {
		return
	}
	l.cut = cut
	if cut {
		l.healed = make(chan struct{})
		return
	}
	close(l.healed)
}

func (l *link) serve() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.forward(c)
	}
}

func (l *link) forward(c net.Conn) {
	defer c.Close()
	fromSender := bufio.NewReaderSize(c, linkBuffer)
	if l.wait() && closed(fromSender, c) {
		return
	}
	s, err := net.DialTimeout("tcp", l.target, time.Second)
	if err != nil {
		return
	}
	defer s.Close()
	l.mu.Lock()
	l.open[c] = s
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.open, c)
		l.mu.Unlock()
	}()
	done := make(chan struct{}, 2)
	go func() { l.copy(s, fromSender, c); done <- struct{}{} }()
	go func() { l.copy(c, bufio.NewReaderSize(s, linkBuffer), s); done <- struct{}{} }()
	<-done
}

// resetHalf resets half of the open connections, rounded down, and returns how many these are.
func (l *link) resetHalf() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for c, s := range l.open {
		if n >= len(l.open)/2 {
			break
		}
		n++
		for _, end := range []net.Conn{c, s} {
			_ = end.(*net.TCPConn).SetLinger(0) // it may have been closed
			_ = end.Close()
		}
	}
	return n
}

// wait waits until the link is whole, and reports whether it was cut.
func (l *link) wait() bool {
	l.mu.Lock()
	healed, cut := l.healed, l.cut
	l.mu.Unlock()
	<-healed
	return cut
}

// copy passes bytes on. Bytes that arrive while the link is cut are held; they are lost if their sender closes first.
func (l *link) copy(to net.Conn, r *bufio.Reader, from net.Conn) {
	for {
		if _, err := r.Peek(1); err != nil {
			return
		}
		if l.wait() && closed(r, from) {
			return
		}
		part, _ := r.Peek(r.Buffered()) // they are buffered
		if _, err := to.Write(part); err != nil {
			return
		}
		_, _ = r.Discard(len(part)) // they are buffered
	}
}

// linkBuffer is the size of the buffer of a connection in one direction.
const linkBuffer = 32 << 10

// closed reports whether the sender has closed a connection behind the bytes that have arrived.
func closed(r *bufio.Reader, c net.Conn) bool {
	if r.Buffered() == linkBuffer {
		return false
	}
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Millisecond)) // fails on a closed connection, like the read
	_, err := r.Peek(r.Buffered() + 1)
	_ = c.SetReadDeadline(time.Time{})
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}
