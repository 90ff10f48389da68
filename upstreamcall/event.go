package upstreamcall

// Event is a complete event of a stream.
type Event struct {
	ID   int
	Data string
	// Version is the weight version that made the event, 0 when the stream names none.
	Version int64
	// Raw holds the bytes of the event as they arrived, with the blank line at its end.
	Raw []byte
}
