package entry

import (
	"io"
	"log"
)

// quietLog drops the messages of net/http about single connections: every request has its own log line, and a message
// about a malformed request may quote it, including a key.
func quietLog() *log.Logger { return log.New(io.Discard, "", 0) }
