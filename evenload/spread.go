package evenload

// Spread counts the requests that a host sends to the upstreams of a service.
type Spread struct{ sends map[string]int }

// Add counts a request.
func (s *Spread) Add(upstream string) {
	if s.sends == nil {
		s.sends = map[string]int{}
	}
	s.sends[upstream]++
}

// Busiest returns the upstream with the most requests, the first of equal ones by name, and the ratio of this number to
// the mean over the given upstreams. ratio is 0 if they got fewer than minMean requests on average.
func (s *Spread) Busiest(upstreams []string, minMean float64) (busiest string, ratio float64) {
	sum := 0
	for _, id := range upstreams {
		n := s.sends[id]
		sum += n
		if busiest == "" || n > s.sends[busiest] || n == s.sends[busiest] && id < busiest {
			busiest = id
		}
	}
	mean := float64(sum) / float64(max(len(upstreams), 1))
	if sum == 0 || mean < minMean {
		return "", 0
	}
	return busiest, float64(s.sends[busiest]) / mean
}

// Reset starts the count again.
func (s *Spread) Reset() { clear(s.sends) }
