package httpstatus

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"
)

// finalStatusLine matches the status lines of final responses as RFC 9112 writes them.
var finalStatusLine = regexp.MustCompile(`^HTTP/\d\.\d +[2-5]\d\d( |\r?\n|$)`)

// Guards against a status that net/http accepts and that ends no request, or that counts as a success without being one.
func FuzzResponse(f *testing.F) {
	for _, status := range []string{
		"200 OK", "204 No Content", "304 Not Modified", "404", "503 Busy", "599 Odd", "000 None", "0 None", "099 Low", "-00 Minus",
		"+20 Plus", "101 Switching Protocols", "150 Interim", "600 High", "999 High", "1000 High", "2x0 Odd", " 200 OK", "٢٠٠ OK", "",
	} {
		f.Add("HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n")
	}
	f.Add("HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		request := &http.Request{Method: http.MethodGet, Header: http.Header{"If-None-Match": {"*"}}}
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), request)
		if err != nil {
			return
		}
		resp.Body.Close()
		err = Check(resp)
		if err == nil && !finalStatusLine.MatchString(text) {
			t.Errorf("%q passes with status %d", text, resp.StatusCode)
		}
		named := true
		for name := range resp.Header {
			named = named && !strings.ContainsAny(name, " \t")
		}
		if err == nil && !named {
			t.Errorf("%q passes with the header %v", text, resp.Header)
		}
		if IsSuccess(resp.StatusCode) && named && err != nil {
			t.Errorf("%q is a success and %v", text, err)
		}
		if request.Header = nil; resp.StatusCode == http.StatusNotModified && Check(resp) == nil {
			t.Errorf("%q passes without a condition", text)
		}
	})
}

// Guards against interim responses without end, and against one with a body that is waited on until the deadline.
func TestInterimResponses(t *testing.T) {
	const final = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	for _, c := range []struct {
		name, text string
		valid      bool
	}{
		{"early hints", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + final, true},
		{"a needless length", "HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n" + final, true},
		{"unknown", "HTTP/1.1 150 Odd\r\n\r\n" + final, true},
		{"as many as allowed", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", maxInterim) + final, true},
		{"one too many", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", maxInterim+1) + final, false},
		{"a name with a space", "HTTP/1.1 103 Early Hints\r\nContent-Length : 4\r\n\r\n" + final, false},
		{"with a body", "HTTP/1.1 150 Odd\r\nContent-Length: 2\r\n\r\n{}", false},
		{"with chunks", "HTTP/1.1 199 Odd\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			server, client := net.Pipe()
			defer server.Close()
			go func() {
				if r, err := http.ReadRequest(bufio.NewReader(server)); err == nil {
					r.Body.Close()
					_, _ = server.Write([]byte(c.text)) // a client that has had enough closes the connection
				}
			}()
			transport := &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) { return client, nil }}
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://upstream/", nil)
			if err != nil {
				t.Fatal(err)
			}
			resp, err := NewClient(transport).Do(req)
			if (err == nil) != c.valid || ctx.Err() != nil {
				t.Errorf("%v, want it valid: %v", err, c.valid)
			}
			if err == nil {
				resp.Body.Close()
			}
		})
	}
}
