// Package routing chooses the upstream of a request with small named filters, scorers and a picker.
//
// Every scorer returns a cost in seconds, so that the costs can be added and compared and the log line explains the
// choice. The package performs no I/O and is not safe for concurrent use.
package routing
