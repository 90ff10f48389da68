package slopes

// Line is a least-squares fit of cost by size.
type Line struct {
	Fixed, Slope float64
	// R2 is the share of the variance that the line explains; 1 when the costs do not vary.
	R2 float64
}

// Fit returns the line through points, which need two different sizes.
func Fit(points []Point) Line {
	n := float64(len(points))
	var meanSize, meanCost float64
	for _, p := range points {
		meanSize += p.Size / n
		meanCost += p.Cost / n
	}
	var sxx, sxy, syy float64
	for _, p := range points {
		dx := p.Size - meanSize
		dy := p.Cost - meanCost
		sxx += dx * dx
		sxy += dx * dy
		syy += dy * dy
	}
	line := Line{R2: 1}
	if sxx > 0 {
		line.Slope = sxy / sxx
	}
	line.Fixed = meanCost - line.Slope*meanSize
	if sxx > 0 && syy > 0 {
		line.R2 = sxy * sxy / (sxx * syy)
	}
	return line
}
