// Package ordering decides how many upstreams each data centre needs. It is a pure planner; the order manager sends what
// it plans.
//
// Two rules keep a noisy load from causing orders: the demand is smoothed, and a changed need must last for a hold time,
// which is longer for giving upstreams back than for adding them.
package ordering
