// Package rowrelay gives a process access to the store while the store refuses this process but serves others: its
// calls then go through a peer. The peer makes one direct call and returns the result.
package rowrelay
