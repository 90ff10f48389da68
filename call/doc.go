// Package call holds what a caller asks of the service and what it is answered, without any wire format.
package call
