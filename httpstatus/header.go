package httpstatus

import (
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
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
