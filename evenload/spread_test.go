package evenload

import "testing"

// Guards against an imbalance that is hidden because upstreams without any request do not count, and against one that is
// reported after a handful of requests.
func TestBusiestCountsIdleUpstreams(t *testing.T) {
	var s Spread
	for range 9 {
		s.Add("a")
	}
	if id, ratio := s.Busiest([]string{"a", "b", "c"}, 3); id != "a" || ratio != 3 {
		t.Errorf("busiest %q with %g times the mean, want a with 3", id, ratio)
	}
	if id, ratio := s.Busiest([]string{"a", "b", "c"}, 4); id != "" || ratio != 0 {
		t.Errorf("busiest %q with %g times the mean after too few requests", id, ratio)
	}
	s.Reset()
	if _, ratio := s.Busiest([]string{"a"}, 0); ratio != 0 {
		t.Errorf("ratio %g after a reset", ratio)
	}
}
