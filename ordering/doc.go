// Package ordering decides how many upstreams to order for each pool. It does no I/O; package ordermanager places the
// orders.
//
// Two rules keep load fluctuations from causing orders: the demand is smoothed, and a changed required count must
// persist for a delay, which is longer for removing upstreams than for adding them.
package ordering
