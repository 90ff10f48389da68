package httpapi

import "github.com/radishshelf/radishshelf/hosting"

// NewServices returns clients of every platform service at address, host:port.
func NewServices(address string, opts Options) hosting.Services {
	c := newClient(address, opts)
	return hosting.Services{
		Table: table{c}, Objects: objects{c}, Orders: orders{c}, Usage: usageSink{c}, Hosts: hosts{c}, Weights: weights{c},
	}
}
