package slopes

// Point is the cost that was measured at one size.
type Point struct {
	Size, Cost float64
}
