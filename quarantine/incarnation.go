package quarantine

// UpstreamIncarnation is the end of one incarnation of an upstream.
type UpstreamIncarnation struct {
	Upstream    string `json:"upstream"`
	Incarnation string `json:"incarnation"`
}
