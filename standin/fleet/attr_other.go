//go:build !linux

package fleet

import "syscall"

// childAttr changes nothing where the system cannot end a child with its parent.
func childAttr() *syscall.SysProcAttr { return nil }
