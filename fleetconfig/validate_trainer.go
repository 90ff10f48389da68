package fleetconfig

func (t *Trainer) validate(c *checker) {
	c.required("policy", t.Policy, "trip-fares")
	c.exists("policy", KindPolicy, t.Policy)
	c.notNegative("max_staleness", t.MaxStaleness < 0)
	if t.LotSamples < 1 {
		c.add("lot_samples", "a lot holds no samples", "write 1 or more")
	}
}
