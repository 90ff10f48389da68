// Package operatorclient holds the messages of the operator interface of an entry and a client for it. Requests and
// responses are JSON over HTTP; package operatorapi serves them.
package operatorclient
