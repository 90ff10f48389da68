// Package httpapi implements the interfaces of package hosting over HTTP: a client for radishshelf processes and a
// server for the platform stand-in. Calls are POST requests with JSON bodies; objects and weights are raw bodies.
//
// The client follows the contract of hosting.ErrorKind: it returns KindUnavailable for a write only if no connection
// was established or the server reported that kind, because in all other cases the call may have taken effect.
package httpapi
