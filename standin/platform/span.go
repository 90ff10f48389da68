package platform

// Span is the part of a received trace span that checks look at. The ids are in hex.
type Span struct {
	TraceID  string `json:"trace_id"`
	SpanID   string `json:"span_id"`
	ParentID string `json:"parent_id,omitempty"`
	Service  string `json:"service"`
	Name     string `json:"name"`
}
