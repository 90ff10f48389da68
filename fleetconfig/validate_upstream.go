package fleetconfig

import (
	"net/netip"
	"strconv"
)

func (u *Upstream) validate(c *checker) {
	c.requireAddress("agent_address", u.AgentAddress)
	c.requireAddress("control_address", u.ControlAddress)
	c.requireNonEmpty("data_centre", u.DataCentre, "sudur")
	c.requireNonEmpty("region", u.Region, "sudur")
	switch u.Kind {
	case UpstreamEngine:
		c.requireNonEmpty("serves", u.Serves, "trip-fares")
		c.requireExists("serves", KindPolicy, u.Serves)
	case UpstreamService:
		c.requireNonEmpty("serves", u.Serves, "fare-lookup")
	default:
		c.add("kind", "the kind is unknown", "write "+UpstreamEngine+" or "+UpstreamService)
	}
}

func (c *checker) requireAddress(field, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.add(field, strconv.Quote(value)+" is not an IP address with a port", `write for example "127.0.0.1:7101"`)
	}
}
