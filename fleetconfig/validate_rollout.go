package fleetconfig

func (r *Rollout) validate(c *checker) {
	c.requireExists("", KindPolicy, c.name)
	if r.Version < 1 {
		c.add("version", "the version is not positive", "write the version that the trainer published")
	}
	c.requireNonNegative("previous", r.Previous < 0)
	c.requireNonNegative("term", r.Term < 0)
	if r.Phase != PhaseStage && r.Phase != PhaseActivate {
		c.add("phase", "the phase is unknown", "write "+PhaseStage+" or "+PhaseActivate)
	}
}
