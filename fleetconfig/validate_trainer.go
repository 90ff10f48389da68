package fleetconfig

func (t *Trainer) validate(c *checker) {
	c.requireNonEmpty("policy", t.Policy, "trip-fares")
	c.requireExists("policy", KindPolicy, t.Policy)
	c.requireNonNegative("max_staleness", t.MaxStaleness < 0)
	if t.LotSamples < 1 {
		c.add("lot_samples", "the value is below 1", "write 1 or more")
	}
	switch t.LotOrder {
	case "", LotOrderOldest, LotOrderFreshest:
	default:
		c.add("lot_order", "the order is unknown", "write "+LotOrderOldest+" or "+LotOrderFreshest)
	}
	c.requireNonNegative("max_ready_samples", t.MaxReadySamples < 0)
	if t.MaxReadySamples > 0 && t.MaxReadySamples < t.LotSamples {
		c.add("max_ready_samples", "the value is below lot_samples", "write lot_samples or more, or 0 for no limit")
	}
}
