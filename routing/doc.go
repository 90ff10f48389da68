// Package routing chooses the upstream of a request with small named filters, scorers and a picker.
//
// A Pipeline holds the filters and scorers of one kind of request. All its scorers have one unit, so that the costs can
// be added and compared and the log line explains the choice; the Router's unit is the second. Package evenload has the
// pipeline of requests without a model. The package performs no I/O and is not safe for concurrent use.
package routing
