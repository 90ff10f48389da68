// Package standin2 holds the stand-ins of the second independent review: the platform's store and its duty API, upstreams, and
// gateways as processes. They speak the published protocol, on loopback addresses and the real clock.
package standin2
