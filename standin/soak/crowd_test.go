//go:build linux

package soak

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/platform/platformtest"
)

const (
	// crowdSize is the number of clients of a crowd. It exceeds the descriptors of the process.
	crowdSize = 1000
	// writeTimeout bounds one write of a client whose bytes are not taken.
	writeTimeout = 3 * time.Second
	// endlessBytes is what a client sends of something without end: several times any limit on a head.
	endlessBytes = 256 << 10
	// headLimit is the limit on heads in the configuration of the tests, and crowdHead what a client sends of a head that is
	// just within the limit.
	headLimit = 64 << 10
	crowdHead = headLimit - 1<<10
	// unreadRequests is how many requests a client sends that reads no answers.
	unreadRequests = 10
)

// misbehaviour sends what one client of a crowd sends on one connection, until an error.
type misbehaviour func(w io.Writer, client int) error

const crowdRequestLine = "POST " + platformtest.QuotePath + "crowd HTTP/1.1\r\nHost: " + platformtest.Host + "\r\n"

// crowdRequest returns the head of a request that is within all limits.
func crowdRequest(id, framing string) string {
	return crowdRequestLine + "Radishshelf-Attempt-Id: " + id + "\r\nRadishshelf-Credential: " + platformtest.APIKey + "\r\n" + framing + "\r\n\r\n"
}

// repeatText writes text until size bytes are written.
func repeatText(w io.Writer, text string, size int) error {
	block := strings.Repeat(text, max(1, 4096/len(text)))
	for range (size + len(block) - 1) / len(block) {
		if _, err := io.WriteString(w, block); err != nil {
			return err
		}
	}
	return nil
}

// writeAll writes texts one after the other.
func writeAll(w io.Writer, texts ...string) error {
	for _, text := range texts {
		if _, err := io.WriteString(w, text); err != nil {
			return err
		}
	}
	return nil
}

func sendNothing(io.Writer, int) error { return nil }

func sendHeadOverTheLimit(w io.Writer, _ int) error {
	if err := writeAll(w, crowdRequestLine); err != nil {
		return err
	}
	if err := repeatText(w, "X-Filler: "+strings.Repeat("a", 1000)+"\r\n", 2*headLimit); err != nil {
		return err
	}
	return writeAll(w, "\r\n")
}

func sendEndlessLine(w io.Writer, _ int) error {
	if err := writeAll(w, crowdRequestLine, "X-Filler: "); err != nil {
		return err
	}
	return repeatText(w, "a", endlessBytes)
}

func sendUnfinishedShortLines(w io.Writer, _ int) error {
	if err := writeAll(w, crowdRequestLine); err != nil {
		return err
	}
	for sent, n := len(crowdRequestLine), 0; sent < crowdHead; n++ {
		var block strings.Builder
		for block.Len() < 4096 {
			fmt.Fprintf(&block, "x%d-%d: 1\r\n", n, block.Len())
		}
		if err := writeAll(w, block.String()); err != nil {
			return err
		}
		sent += block.Len()
	}
	return nil
}

func sendEmptyLines(w io.Writer, _ int) error { return repeatText(w, "\r\n", endlessBytes) }

func sendEmptyLinesAfterRequest(w io.Writer, client int) error {
	if err := writeAll(w, crowdRequest(fmt.Sprint("crowd-", client), "Content-Length: 1"), "x"); err != nil {
		return err
	}
	return sendEmptyLines(w, client)
}

func sendByteByByte(w io.Writer, _ int) error {
	for _, b := range crowdRequestLine[:5] {
		if err := writeAll(w, string(b)); err != nil {
			return err
		}
		time.Sleep(time.Second)
	}
	return nil
}

func sendWithoutReading(w io.Writer, client int) error {
	body := strings.Repeat("x", 30_000)
	for i := range unreadRequests {
		head := crowdRequest(fmt.Sprintf("crowd-%d-%d", client, i), fmt.Sprint("Content-Length: ", len(body)))
		if err := writeAll(w, head, body); err != nil {
			return err
		}
	}
	return nil
}

func sendSlowBody(w io.Writer, client int) error {
	if err := writeAll(w, crowdRequest(fmt.Sprint("crowd-", client), "Content-Length: 200000")); err != nil {
		return err
	}
	if err := repeatText(w, "a", 190_000/4096*4096); err != nil {
		return err
	}
	for range 3 {
		time.Sleep(time.Second)
		if err := writeAll(w, "a"); err != nil {
			return err
		}
	}
	return nil
}

func sendLongChunkExtensions(w io.Writer, client int) error {
	if err := writeAll(w, crowdRequest(fmt.Sprint("crowd-", client), "Transfer-Encoding: chunked")); err != nil {
		return err
	}
	return repeatText(w, "1;"+strings.Repeat("a", 3000)+"\r\nx\r\n", endlessBytes)
}

// crowd is a set of clients that keep their connections open until close.
type crowd struct {
	mu    sync.Mutex
	conns []net.Conn
}

// startCrowd connects crowdSize clients to addresses in turn and returns when each has sent all that it sends or was disconnected.
func startCrowd(t *testing.T, addresses []string, send misbehaviour) *crowd {
	t.Helper()
	c := &crowd{}
	var clients sync.WaitGroup
	for n := range crowdSize {
		clients.Go(func() {
			conn, err := net.DialTimeout("tcp", addresses[n%len(addresses)], writeTimeout)
			if err != nil {
				return // refused, as the tests allow
			}
			c.mu.Lock()
			c.conns = append(c.conns, conn)
			c.mu.Unlock()
			_ = conn.(*net.TCPConn).SetReadBuffer(4096) // answers that are not read stay with the process
			_ = send(&timedWriter{conn}, n)             // fails when the process refuses the client
		})
	}
	clients.Wait()
	return c
}

func (c *crowd) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		conn.Close()
	}
}

// timedWriter bounds each write to a connection.
type timedWriter struct{ net.Conn }

func (w *timedWriter) Write(p []byte) (int, error) {
	if err := w.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return w.Conn.Write(p)
}
