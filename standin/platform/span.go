package platform

// Span holds the fields of a received trace span that tests use. The IDs are in hexadecimal.
type Span struct {
	TraceID  string `json:"trace_id"`
	SpanID   string `json:"span_id"`
	ParentID string `json:"parent_id,omitempty"`
	Service  string `json:"service"`
	Name     string `json:"name"`
}
