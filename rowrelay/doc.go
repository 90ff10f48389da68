// Package rowrelay keeps a process in touch with the store while the store turns the process away but serves others: its
// calls then go through a peer. The peer makes the call once, directly, and passes the answer back.
package rowrelay
