//go:build !linux

package fleet

import "syscall"

// childAttr returns nil, since a child cannot be tied to the life of its parent on this system.
func childAttr() *syscall.SysProcAttr { return nil }
