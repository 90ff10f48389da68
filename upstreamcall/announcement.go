package upstreamcall

import "time"

// Announcement is what an upstream says of itself in the header of a response, whatever the response is for.
type Announcement struct {
	// Leaving is set if the upstream is about to stop.
	Leaving bool
	// Limit is how many requests a second the upstream takes from all hosts together; 0 if it names no limit.
	Limit float64
	// InvalidLimit is the quoted text of a limit that is not a positive finite number; "" if there is none. Such a text
	// says nothing.
	InvalidLimit string
	// ColdFor is how long the upstream stays cold; 0 if it is not cold or the response does not say so.
	ColdFor time.Duration
	// RequestedAt is when the request was sent that the response answers, so that the upstream wrote the response later;
	// zero if the response answers another request, of an unknown time.
	RequestedAt time.Time
}
