// Package clientconn provides connections of HTTP/1.1 clients that tell what net/http does not: whether the end of a
// connection ends a response without a length, and which lines of its head were changed.
//
// A connection reset is reported once, to the read or to the write that notices it first. If the write of a request body
// takes the error, the read beside it returns io.EOF, as after an orderly end. An end therefore proves a response without a
// length complete only if the request has been sent without an error.
package clientconn
