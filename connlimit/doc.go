// Package connlimit decides which connections of callers are closed when they hold more than a process can spare. It counts
// connections and the memory of their request heads from the first byte to the end of the request. Above a bound the
// connection is closed that holds the most and gives the least in return; one whose complete request is being served is
// never closed. It is a pure decision: events and the time go in, connections to be closed come out.
package connlimit
