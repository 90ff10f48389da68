// Package attemptconn sends attempts over reused HTTP/1.1 connections, and never sends an attempt twice over the same
// connection.
//
// A response belongs to the request that its connection expects and that its attempt ID names. After an upstream has
// responded twice to one request, the second copy arrives where the response to the next request is expected. If the next
// request is the same attempt again, nothing tells the copy from the response.
package attemptconn
