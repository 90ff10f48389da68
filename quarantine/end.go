package quarantine

// End is the end of one incarnation of an upstream.
type End struct {
	Upstream    string `json:"upstream"`
	Incarnation string `json:"incarnation"`
}
