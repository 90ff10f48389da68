// Package memory implements the interfaces of package hosting in memory, with fault injection. Tests use it directly;
// the platform stand-in serves it over HTTP.
package memory
