package quarantine

import "time"

// maxSources bounds the upstream incarnations remembered per fingerprint; the refusal starts long before.
const maxSources = 8

// record is what is known about one fingerprint.
type record struct {
	// sources counts the deaths that this process learned from each upstream incarnation.
	sources map[End]int
	// peers is the largest total that a peer reported.
	peers   int
	expires time.Time
}

// deaths is the larger of the own sum and the peers' figure. The two are not added, because a peer's figure may
// contain the same deaths.
func (r *record) deaths() int {
	sum := 0
	for _, n := range r.sources {
		sum += n
	}
	return max(sum, r.peers)
}

// count raises the deaths of one source and reports whether it was lower before.
func (r *record) count(s End, deaths int) bool {
	known, ok := r.sources[s]
	if known >= deaths || (!ok && len(r.sources) >= maxSources) {
		return false
	}
	r.sources[s] = deaths
	return true
}
