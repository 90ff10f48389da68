package upstreamcall

// Event is a complete event of a response stream.
type Event struct {
	ID   int
	Data string
	// Version is the weight version that generated the event; 0 if the stream names none.
	Version int64
	// Raw holds the bytes of the event as received, including the blank line at its end.
	Raw []byte
}
