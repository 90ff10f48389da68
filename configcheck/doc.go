// Package configcheck checks a configuration before it is put in force: what is wrong in it, what can never take effect,
// which of its limits contradict each other, and what differs from the one in force. It does no I/O, and names no key.
package configcheck
