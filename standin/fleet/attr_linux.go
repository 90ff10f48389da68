package fleet

import "syscall"

// childAttr makes the kernel kill a child process when the test process exits, also when that is killed or times out.
func childAttr() *syscall.SysProcAttr { return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} }
