package httpstatus

import (
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"

	"github.com/radishshelf/radishshelf/clientconn"
)

// checkHeader returns the reason why a header is none, or "". net/http keeps a field under a name that holds a space, as in
// "Content-Length : 4", so that it neither frames the body nor means what its sender meant. RFC 9112, section 5.1, allows
// no space there.
func checkHeader(header http.Header) (reason string) {
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Sprintf("has a header field with the invalid name %.80q", name)
		}
	}
	return ""
}

// checkHead returns an *Error if net/http has changed the head of a response so that the body or a field may not be the
// sender's. A folded line may be rejected by RFC 9112, section 5.2; it may hold the length of the body. The framing of an
// HTTP/1.0 response with a transfer coding is faulty by section 6.1.
func checkHead(resp *http.Response, head clientconn.Head) error {
	reason := ""
	switch {
	case head.Folded:
		reason = "has a folded header line"
	case head.TransferEncoding && !resp.ProtoAtLeast(1, 1):
		reason = "names a transfer coding in " + resp.Proto
	default:
		return nil
	}
	return &Error{Status: statusOf(resp), Reason: reason}
}
