package clientconn

import (
	"bufio"
	"net/http"
	"strings"
	"testing"
)

func scanAll(text string, pieces int) headScanner {
	var s headScanner
	for len(text) > 0 {
		n := min(max(pieces, 1), len(text))
		s.scan([]byte(text[:n]))
		text = text[n:]
	}
	return s
}

func TestHeads(t *testing.T) {
	const final = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	for name, c := range map[string]struct {
		text string
		want Head
	}{
		"plain":                 {final, Head{}},
		"a folded line":         {"HTTP/1.1 200 OK\r\nX: a\r\n Content-Length: 4\r\n\r\n", Head{Folded: true}},
		"a folded tab":          {"HTTP/1.1 200 OK\nX: a\n\tb\n\n", Head{Folded: true}},
		"an empty folded line":  {"HTTP/1.1 200 OK\r\nX: a\r\n \r\n\r\n", Head{Folded: true}},
		"chunks":                {"HTTP/1.0 200 OK\r\ntransfer-ENCODING:chunked\r\n\r\n", Head{TransferEncoding: true}},
		"a longer name":         {"HTTP/1.0 200 OK\r\nTransfer-Encodings: chunked\r\n\r\n", Head{}},
		"a value":               {"HTTP/1.0 200 OK\r\nX: Transfer-Encoding: chunked\r\n\r\n", Head{}},
		"an interim response":   {"HTTP/1.1 103 Early Hints\r\nX: a\r\n b\r\n\r\n" + final, Head{Folded: true}},
		"after one":             {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX: a\r\n b\r\n\r\n", Head{Folded: true}},
		"the body":              {final + " body\r\nTransfer-Encoding: chunked\r\n\r\n", Head{}},
		"the body after 101":    {"HTTP/1.1 101 Switching Protocols\r\n\r\n body\r\n", Head{}},
		"a line over the limit": {"HTTP/1.1 200 " + strings.Repeat("O", 100) + "\r\nX: " + strings.Repeat("\r", 100) + "\r\n\r\n body\r\n", Head{}},
	} {
		for pieces := 1; pieces <= len(c.text); pieces++ {
			if s := scanAll(c.text, pieces); s.Head != c.want || !s.done {
				t.Errorf("%s, %d bytes at a time: %+v, done %v, want %+v", name, pieces, s.Head, s.done, c.want)
			}
		}
	}
}

// Guards against a scanner that takes other bytes for the head than net/http, or that depends on how they arrive.
func FuzzHead(f *testing.F) {
	const final = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	f.Add(final, 3)
	f.Add("HTTP/1.1 100 Continue\r\n\r\n"+final, 7)
	f.Add("HTTP/1.0 200 OK\nTransfer-Encoding: chunked\nX: a\n b\n\nbody", 1)
	f.Fuzz(func(t *testing.T, text string, pieces int) {
		whole, split := scanAll(text, len(text)), scanAll(text, pieces)
		if whole.Head != split.Head || whole.done != split.done {
			t.Errorf("%q: %+v at once, %+v with %d bytes at a time", text, whole, split, pieces)
		}
		in := bufio.NewReader(strings.NewReader(text))
		for {
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				return
			}
			if resp.StatusCode >= 200 || resp.StatusCode == http.StatusSwitchingProtocols {
				break
			}
		}
		if !whole.done {
			t.Errorf("%q: no end of the last head", text)
		}
	})
}
