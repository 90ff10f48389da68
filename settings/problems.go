package settings

import (
	"errors"
	"net"
	"net/netip"
	"strconv"
	"time"
)

// Problems collects the errors of a settings file, so that an operator sees all of them at once.
type Problems struct{ errs []error }

// Add records an error.
func (p *Problems) Add(kind ErrorKind, field, problem, remedy string) {
	p.errs = append(p.errs, &Error{Kind: kind, Field: field, Problem: problem, Remedy: remedy})
}

// Err returns the recorded errors joined, or nil if there are none.
func (p *Problems) Err() error { return errors.Join(p.errs...) }

// Required records an error if value is empty.
func (p *Problems) Required(field, value, example string) {
	if value == "" {
		p.Add(KindMissing, field, "the value is missing", "set it, for example "+strconv.Quote(example))
	}
}

// Address records an error unless value is an IP address with a port.
func (p *Problems) Address(field, value string) {
	const remedy = `write an IP address and a port, for example "127.0.0.1:7001"`
	if value == "" {
		p.Add(KindMissing, field, "the address is missing", remedy)
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		p.Add(KindInvalid, field, strconv.Quote(value)+" is not an IP address with a port", remedy)
	}
}

// DistinctAddresses records a conflict for each pair of fields with the same address. fields[i] has the value
// values[i]. Port 0, which selects a free port, is exempt.
func (p *Problems) DistinctAddresses(fields, values []string) {
	for i := range values {
		for j := i + 1; j < len(values); j++ {
			if values[i] == values[j] && values[i] != "" && !hasPortZero(values[i]) {
				p.Add(KindConflict, fields[j], "the address is the same as "+strconv.Quote(fields[i]),
					"use a different address for each port")
			}
		}
	}
}

func hasPortZero(address string) bool {
	_, port, err := net.SplitHostPort(address)
	return err == nil && port == "0"
}

// Positive records an error unless value is greater than zero.
func (p *Problems) Positive(field string, value Duration) {
	if value <= 0 {
		p.Add(KindInvalid, field, "the duration must be greater than zero", `write for example "5s"`)
	}
}

// Less records a conflict unless shorter is less than longer.
func (p *Problems) Less(shortField string, shorter Duration, longField string, longer Duration) {
	if shorter >= longer {
		p.Add(KindConflict, shortField,
			time.Duration(shorter).String()+" is not below "+longField+" ("+time.Duration(longer).String()+")",
			"lower "+shortField+" or raise "+longField)
	}
}
