package fleetconfig

import (
	"net/netip"
	"strconv"
)

func (u *Upstream) validate(c *checker) {
	c.address("agent_address", u.AgentAddress)
	c.address("control_address", u.ControlAddress)
	c.required("data_centre", u.DataCentre, "sudur")
	c.required("region", u.Region, "sudur")
	switch u.Kind {
	case UpstreamEngine:
		c.required("serves", u.Serves, "trip-fares")
		c.exists("serves", KindPolicy, u.Serves)
	case UpstreamService:
		c.required("serves", u.Serves, "fare-lookup")
	default:
		c.add("kind", "the kind is unknown", "write "+UpstreamEngine+" or "+UpstreamService)
	}
}

func (c *checker) address(field, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.add(field, strconv.Quote(value)+" is not an IP address with a port", `write for example "127.0.0.1:7101"`)
	}
}
