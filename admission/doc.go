// Package admission decides which request runs next at one entry: a weighted fair queue over workspaces by token cost,
// in front of a window of outstanding work.
//
// The queue is a WF2Q+ scheduler: each backlogged workspace has a start tag in virtual time, and of those whose start
// tag has been reached the one with the lowest finish tag is served. A backlogged workspace therefore receives at
// least its weighted share of the admitted tokens minus one item of maximum cost. The package performs no I/O and is
// not safe for concurrent use.
package admission
