package fleetconfig

func (w *Workspace) validate(c *checker) {
	for _, policy := range w.Policies {
		c.exists("policies", KindPolicy, policy)
	}
	for _, route := range w.Routes {
		c.exists("routes", KindRoute, route)
	}
	c.notNegative("tokens_per_second", w.TokensPerSecond < 0)
	c.notNegative("weight", w.Weight < 0)
}
