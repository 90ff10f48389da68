// Package memory implements the interfaces of package platform in memory, with faults that a test can switch on.
// Tests use it directly; the platform stand-in serves it over HTTP.
package memory
