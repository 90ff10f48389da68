package fleetconfig

func (p *Policy) validate(c *checker) {
	c.requireExists("scorer", KindRoute, p.Scorer)
	c.requireNonNegative("max_tokens", p.MaxTokens < 0)
	if p.Trainer == "" {
		return
	}
	trainer, ok := c.view.Trainer(p.Trainer)
	if !ok {
		c.add("trainer", "trainer \""+p.Trainer+"\" does not exist",
			"create the policy without a trainer, then the trainer, then set the trainer of the policy")
		return
	}
	if trainer.Policy != c.name {
		c.add("trainer", "trainer \""+p.Trainer+"\" trains policy \""+trainer.Policy+"\"", "name a trainer of this policy")
	}
}
