package slopes

// Series is the cost of one mechanism at several sizes.
type Series struct {
	// Name is "<mechanism>.<cost>".
	Name string
	// By names the size and Unit the unit of the cost.
	By, Unit string
	Points   []Point
}

// newSeries returns an empty series.
func newSeries(name, by, unit string) *Series { return &Series{Name: name, By: by, Unit: unit} }

func (s *Series) add(size int, cost float64) {
	s.Points = append(s.Points, Point{Size: float64(size), Cost: cost})
}
