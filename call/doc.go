// Package call defines the requests of callers and the service's responses, independent of the wire format.
package call
