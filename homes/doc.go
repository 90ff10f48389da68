// Package homes says in which regions a request may be served. It does no I/O.
package homes
