package slopes

import (
	"math"
	"testing"
)

// A wrong fit would put wrong figures into docs/CAPACITY.md without any other sign.
func TestFit(t *testing.T) {
	for name, tt := range map[string]struct {
		points []Point
		want   Line
	}{
		"exact":    {[]Point{{1, 5}, {2, 7}, {4, 11}}, Line{Fixed: 3, Slope: 2, R2: 1}},
		"constant": {[]Point{{1, 4}, {2, 4}, {9, 4}}, Line{Fixed: 4, Slope: 0, R2: 1}},
		"scatter":  {[]Point{{0, 0}, {1, 2}, {2, 1}}, Line{Fixed: 0.5, Slope: 0.5, R2: 0.25}},
	} {
		got := Fit(tt.points)
		for _, d := range []float64{got.Fixed - tt.want.Fixed, got.Slope - tt.want.Slope, got.R2 - tt.want.R2} {
			if math.Abs(d) > 1e-9 {
				t.Fatalf("%s: got %+v, want %+v", name, got, tt.want)
			}
		}
	}
}
