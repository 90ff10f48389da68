// Package routing chooses the upstream of a request with small named filters, scorers and a picker.
//
// Every scorer answers in seconds of cost, so that their sum is a meaningful comparison and the log line explains the
// choice. The package is pure and not safe for concurrent use.
package routing
