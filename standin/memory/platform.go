package memory

import (
	"time"

	"github.com/radishshelf/radishshelf/hosting"
)

// Platform holds an in-memory instance of every service. The methods of the services may be called concurrently.
type Platform struct {
	Table   *Table
	Objects *Objects
	Orders  *Orders
	Usage   *UsageSink
	Hosts   *Hosts
	Weights *Weights
}

// New returns an empty platform without faults.
func New(opts Options) *Platform {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	return &Platform{
		Table:   newTable(),
		Objects: newObjects(),
		Orders:  newOrders(opts.CheckTerms),
		Usage:   newUsageSink(),
		Hosts:   newHosts(opts),
		Weights: newWeights(opts.WeightBytesPerSecond),
	}
}

// Services returns the services as the interfaces of package hosting.
func (p *Platform) Services() hosting.Services {
	return hosting.Services{
		Table: p.Table, Objects: p.Objects, Orders: p.Orders, Usage: p.Usage, Hosts: p.Hosts, Weights: p.Weights,
	}
}

// FaultInjector returns the fault injector of service, or false if the service is unknown.
func (p *Platform) FaultInjector(service Service) (*FaultInjector, bool) {
	switch service {
	case ServiceTable:
		return &p.Table.Faults, true
	case ServiceObjects:
		return &p.Objects.Faults, true
	case ServiceOrders:
		return &p.Orders.Faults, true
	case ServiceUsage:
		return &p.Usage.Faults, true
	case ServiceHosts:
		return &p.Hosts.Faults, true
	case ServiceWeights:
		return &p.Weights.Faults, true
	}
	return nil, false
}
