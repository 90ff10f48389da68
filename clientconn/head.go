package clientconn

import "bytes"

// Head is what net/http does not report of the heads of the responses to a request, the interim ones included.
type Head struct {
	// Folded is set if a line begins with a space or tab, which net/http joins to the value of the line before.
	Folded bool
	// TransferEncoding is set if a field names transfer codings, which net/http removes in HTTP/1.0 without decoding them.
	TransferEncoding bool
}

// transferEncodingPrefix starts a field that names transfer codings, in lower case.
var transferEncodingPrefix = []byte("transfer-encoding:")

// maxLinePrefix is how much of a line is kept: the status code and the name of a field with transfer codings are in it.
const maxLinePrefix = 32

// headScanner reads heads in pieces of any size, up to the end of the first that is not of an interim response.
type headScanner struct {
	Head
	// prefix holds the first bytes of the current line, without its end.
	prefix []byte
	// inHead is set after the status line, and done after the last head.
	inHead, interim, done bool
}

// scan reads the next bytes of a connection.
func (s *headScanner) scan(p []byte) {
	for len(p) > 0 && !s.done {
		line, rest, ended := bytes.Cut(p, []byte{'\n'})
		s.prefix = append(s.prefix, line[:min(len(line), maxLinePrefix-len(s.prefix))]...)
		if ended {
			s.endLine(bytes.TrimSuffix(s.prefix, []byte{'\r'}))
			s.prefix = s.prefix[:0]
		}
		p = rest
	}
}

func (s *headScanner) endLine(line []byte) {
	switch {
	case !s.inHead:
		s.inHead, s.interim = true, isInterim(line)
	case len(line) == 0:
		s.inHead, s.done = false, !s.interim
	case line[0] == ' ' || line[0] == '\t':
		s.Folded = true
	case len(line) >= len(transferEncodingPrefix) && bytes.EqualFold(line[:len(transferEncodingPrefix)], transferEncodingPrefix):
		s.TransferEncoding = true
	}
}

// isInterim reports whether another response follows the one with a status line. 101 is final.
func isInterim(statusLine []byte) bool {
	_, status, _ := bytes.Cut(statusLine, []byte{' '})
	code, _, _ := bytes.Cut(bytes.TrimLeft(status, " "), []byte{' '})
	return len(code) == 3 && code[0] == '1' && isDigit(code[1]) && isDigit(code[2]) && string(code) != "101"
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }
