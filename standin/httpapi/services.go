package httpapi

import "github.com/radishshelf/radishshelf/hosting"

// NewServices returns clients for all services of the platform at address, in the form host:port.
func NewServices(address string, opts Options) hosting.Services {
	c := newClient(address, opts)
	return hosting.Services{
		Table: table{c}, Objects: objects{c}, Orders: orders{c}, Usage: usageSink{c}, Hosts: hosts{c}, Weights: weights{c},
	}
}
