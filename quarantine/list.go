package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// List holds the suspects known to one process.
type List struct {
	cfg     Config
	records map[string]*record
}

// New returns an empty list.
func New(cfg Config) *List {
	return &List{cfg: cfg, records: make(map[string]*record)}
}

// RecordDeath adds one death to each fingerprint that ran on an upstream incarnation when it died. Recording the same
// incarnation again changes nothing. It returns the fingerprints whose deaths were raised.
func (l *List) RecordDeath(upstream, incarnation string, fingerprints []string, now time.Time) []string {
	var counted []string
	for _, fp := range fingerprints {
		if l.addDeaths(UpstreamIncarnation{upstream, incarnation}, fp, 1, l.cfg.Retention, now) {
			counted = append(counted, fp)
		}
	}
	l.evict(now)
	return counted
}

// RecordReport records the suspects that an agent itself detected at its upstream, as repeated in its heartbeats. The deaths
// of different upstreams add up. Suspects that the agent only received from entries must be passed to Merge instead.
func (l *List) RecordReport(upstream, incarnation string, suspects []Suspect, now time.Time) {
	for _, s := range suspects {
		l.addDeaths(UpstreamIncarnation{upstream, incarnation}, s.Fingerprint, s.Deaths, s.Remaining, now)
	}
	l.evict(now)
}

// Merge adds the suspects of a peer: it merges the sources, and applies the peer's remaining time only if that raises the
// number of deaths. If an equal number extended the time, two peers would prolong each other's records indefinitely by the
// transfer time of each exchange.
func (l *List) Merge(suspects []Suspect, now time.Time) {
	for _, s := range suspects {
		if s.Remaining <= 0 || s.Deaths <= 0 {
			continue
		}
		r := l.record(s.Fingerprint, now)
		before := r.deaths()
		for _, source := range s.Sources {
			if source.Deaths > 0 {
				r.raiseDeaths(source.UpstreamIncarnation, source.Deaths)
			}
		}
		r.peerDeaths = max(r.peerDeaths, s.Deaths)
		if r.deaths() > before {
			r.extend(now.Add(min(s.Remaining, l.cfg.Retention)))
		}
	}
	l.evict(now)
}

// Check returns how a request with the fingerprint may run now.
func (l *List) Check(fingerprint string, now time.Time) Decision {
	r, ok := l.records[fingerprint]
	if !ok || !now.Before(r.expires) {
		return Decision{Action: Run}
	}
	v := Decision{Action: RunAlone, Deaths: r.deaths(), Remaining: r.expires.Sub(now)}
	if v.Deaths >= l.cfg.RefuseAfterDeaths {
		v.Action = Refuse
	}
	return v
}

// Suspects returns at most limit suspects for a peer, those with the most deaths first.
func (l *List) Suspects(limit int, now time.Time) []Suspect {
	var list []Suspect
	for fp, r := range l.records {
		if now.Before(r.expires) {
			list = append(list, Suspect{Fingerprint: fp, Deaths: r.deaths(), Remaining: r.expires.Sub(now), Sources: r.sortedSources()})
		}
	}
	slices.SortFunc(list, compareSeverity)
	return list[:min(limit, len(list))]
}

// Len returns the number of fingerprints in memory, including expired ones.
func (l *List) Len() int { return len(l.records) }

func (l *List) addDeaths(incarnation UpstreamIncarnation, fp string, deaths int, remaining time.Duration, now time.Time) bool {
	if deaths <= 0 || remaining <= 0 {
		return false
	}
	r := l.record(fp, now)
	if !r.raiseDeaths(incarnation, deaths) {
		return false
	}
	r.extend(now.Add(min(remaining, l.cfg.Retention)))
	return true
}

// record returns the record of a fingerprint. It creates one when there is none or the old one can be forgotten.
func (l *List) record(fp string, now time.Time) *record {
	r, ok := l.records[fp]
	if !ok || l.forgotten(r, now) {
		r = &record{sources: make(map[UpstreamIncarnation]int)}
		l.records[fp] = r
	}
	return r
}

func (r *record) extend(expires time.Time) {
	if expires.After(r.expires) {
		r.expires = expires
	}
}

// forgotten reports whether an expired record can be removed. It is kept for one more retention period, so that a peer whose
// copy expires later cannot restore it.
func (l *List) forgotten(r *record, now time.Time) bool {
	return !r.expires.IsZero() && !now.Before(r.expires.Add(l.cfg.Retention))
}

// evict removes forgotten records and then the least severe ones beyond MaxSuspects. It does nothing until that limit is
// exceeded.
func (l *List) evict(now time.Time) {
	if len(l.records) <= l.cfg.MaxSuspects {
		return
	}
	list := make([]Suspect, 0, len(l.records))
	for fp, r := range l.records {
		if l.forgotten(r, now) {
			delete(l.records, fp)
			continue
		}
		s := Suspect{Fingerprint: fp, Remaining: r.expires.Sub(now)}
		if now.Before(r.expires) {
			s.Deaths = r.deaths()
		}
		list = append(list, s)
	}
	slices.SortFunc(list, compareSeverity)
	for _, s := range list[min(l.cfg.MaxSuspects, len(list)):] {
		delete(l.records, s.Fingerprint)
	}
}

// compareSeverity orders suspects by deaths and remaining time, both descending, and by fingerprint for a stable order.
func compareSeverity(a, b Suspect) int {
	return cmp.Or(cmp.Compare(b.Deaths, a.Deaths), cmp.Compare(b.Remaining, a.Remaining),
		cmp.Compare(a.Fingerprint, b.Fingerprint))
}
