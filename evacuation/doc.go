// Package evacuation keeps what is known of the operators' orders to send nothing more to the upstreams of a data centre,
// whichever source it came from, and says how load returns once an order is taken back. It does no I/O and reads no clock.
package evacuation
