package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// maxSources limits the upstream incarnations remembered per fingerprint. A request is refused well before it reaches this
// number.
const maxSources = 8

// record is what is known about one fingerprint.
type record struct {
	// sources holds the number of deaths by upstream incarnation, reported by an agent or a peer.
	sources map[UpstreamIncarnation]int
	// peerDeaths is the largest total reported by a peer, which may omit some of its sources.
	peerDeaths int
	expires    time.Time
}

// deaths returns the larger of the sum over the sources and peerDeaths. The two are not added, because a peer's total may
// include the same deaths.
func (r *record) deaths() int {
	sum := 0
	for _, n := range r.sources {
		sum += n
	}
	return max(sum, r.peerDeaths)
}

// raiseDeaths raises the deaths of one source and reports whether they were lower before. It ignores new sources beyond
// maxSources.
func (r *record) raiseDeaths(s UpstreamIncarnation, deaths int) bool {
	known, ok := r.sources[s]
	if known >= deaths || (!ok && len(r.sources) >= maxSources) {
		return false
	}
	r.sources[s] = deaths
	return true
}

// sortedSources returns the sources ordered by upstream and incarnation.
func (r *record) sortedSources() []Source {
	var list []Source
	for end, deaths := range r.sources {
		list = append(list, Source{UpstreamIncarnation: end, Deaths: deaths})
	}
	slices.SortFunc(list, func(a, b Source) int {
		return cmp.Or(cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return list
}
