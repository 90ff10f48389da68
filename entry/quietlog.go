package entry

import (
	"io"
	"log"
)

// quietLog returns a logger that discards the messages of net/http about single connections. Every request has its own
// log line, and a message about a malformed request may quote the request, including a key.
func quietLog() *log.Logger { return log.New(io.Discard, "", 0) }
