package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// maxSources bounds the upstream incarnations remembered per fingerprint; the refusal starts long before.
const maxSources = 8

// record is what is known about one fingerprint.
type record struct {
	// sources counts the deaths of each upstream incarnation, whether an agent or a peer told of them.
	sources map[UpstreamIncarnation]int
	// peerDeaths is the largest total that a peer reported; a peer may not name all sources.
	peerDeaths int
	expires    time.Time
}

// deaths is the larger of the own sum and the peers' figure. The two are not added, because a peer's figure may
// contain the same deaths.
func (r *record) deaths() int {
	sum := 0
	for _, n := range r.sources {
		sum += n
	}
	return max(sum, r.peerDeaths)
}

// raiseDeaths raises the deaths of one source and reports whether it was lower before.
func (r *record) raiseDeaths(s UpstreamIncarnation, deaths int) bool {
	known, ok := r.sources[s]
	if known >= deaths || (!ok && len(r.sources) >= maxSources) {
		return false
	}
	r.sources[s] = deaths
	return true
}

// sortedSources returns the sources in a fixed order.
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
