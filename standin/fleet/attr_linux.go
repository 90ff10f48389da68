package fleet

import "syscall"

// childAttr ends a process with the test process, also when that is killed or runs into its time limit.
func childAttr() *syscall.SysProcAttr { return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} }
