package quarantine

// UpstreamIncarnation identifies one incarnation of an upstream. It ends at most once, so it also identifies that end.
type UpstreamIncarnation struct {
	Upstream    string `json:"upstream"`
	Incarnation string `json:"incarnation"`
}
