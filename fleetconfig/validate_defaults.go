package fleetconfig

func (d *Defaults) validate(c *checker) {
	if c.name != DefaultsName {
		c.add("", "there is only one defaults object", "name it \""+DefaultsName+"\"")
	}
	c.requireNonNegative("tokens_per_second", d.TokensPerSecond < 0)
	c.requireNonNegative("max_tokens", d.MaxTokens < 0)
	c.requireNonNegative("request_timeout_ms", d.RequestTimeoutMs < 0)
	c.requireNonNegative("max_entries", d.MaxEntries < 0)
	c.requireNonNegative("usage_window_seconds", d.UsageWindowSeconds < 0)
	c.requireNonNegative("min_upstreams", d.MinUpstreams < 0)
	c.requireNonNegative("max_upstreams", d.MaxUpstreams < 0)
	if d.MaxUpstreams > 0 && d.MinUpstreams > d.MaxUpstreams {
		c.add("min_upstreams", "the value is above max_upstreams", "lower min_upstreams or raise max_upstreams")
	}
}
