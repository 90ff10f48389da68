// Package ordermanager places the orders that package ordering plans, for the holder of the role "orders".
//
// Every order has an intent row, which is written under the role's guard before the order is sent. The ID of an order
// consists of its pool and a generation number, so an order that is sent again by this holder or the next has no
// further effect.
package ordermanager
