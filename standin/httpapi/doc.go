// Package httpapi carries the interfaces of package platform over HTTP: a client for radishshelf processes and a
// server that the platform stand-in uses. Calls are JSON in POST requests; objects and weights are raw bodies.
//
// The client keeps the promise of platform.ErrorKind: KindUnavailable is returned for a write only when no connection
// was made or the server said so, because after that the call may have taken effect.
package httpapi
