package fleetconfig

func (w *Workspace) validate(c *checker) {
	for _, policy := range w.Policies {
		c.requireExists("policies", KindPolicy, policy)
	}
	for _, route := range w.Routes {
		c.requireExists("routes", KindRoute, route)
	}
	c.requireNonNegative("tokens_per_second", w.TokensPerSecond < 0)
	c.requireNonNegative("weight", w.Weight < 0)
}
