package fleet

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// stopTimeout bounds the graceful shutdown of a process.
const stopTimeout = 20 * time.Second

// Process is a process of a fleet. It keeps its settings file across restarts.
type Process struct {
	Name string

	t            testing.TB
	binaryPath   string
	settingsPath string
	logPath      string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

func newProcess(t testing.TB, dir, name, binary, settingsFile string) *Process {
	p := &Process{
		Name: name, t: t, binaryPath: binary, settingsPath: settingsFile, logPath: filepath.Join(dir, name+".log"),
	}
	t.Cleanup(p.killIfRunning)
	return p
}

// Start starts the program. Its output is appended to the log file.
func (p *Process) Start() {
	p.t.Helper()
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	cmd := exec.Command(p.binaryPath, "run", "--settings", p.settingsPath)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = childAttr()
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		p.t.Fatalf("start %s: %v", p.Name, err)
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.done = cmd, done
	p.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}()
}

// Stop sends SIGTERM and waits for the process to exit.
func (p *Process) Stop() {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	if !p.exited(stopTimeout) {
		p.t.Fatalf("%s did not exit within %s of SIGTERM", p.Name, stopTimeout)
	}
}

// Kill sends SIGKILL and waits for the process to exit.
func (p *Process) Kill() {
	p.t.Helper()
	p.signal(syscall.SIGKILL)
	if !p.exited(stopTimeout) {
		p.t.Fatalf("%s did not exit within %s of SIGKILL", p.Name, stopTimeout)
	}
}

// Freeze suspends the process with SIGSTOP until Thaw is called.
func (p *Process) Freeze() { p.t.Helper(); p.signal(syscall.SIGSTOP) }

// Thaw resumes a frozen process with SIGCONT.
func (p *Process) Thaw() { p.t.Helper(); p.signal(syscall.SIGCONT) }

// Alive reports whether the process has not exited.
func (p *Process) Alive() bool { return !p.exited(0) }

// Log returns the log of all starts, or "" if it cannot be read.
func (p *Process) Log() string {
	data, err := os.ReadFile(p.logPath)
	if err != nil {
		return ""
	}
	return string(data)
}

// Logged reports whether the log contains text.
func (p *Process) Logged(text string) bool { return strings.Contains(p.Log(), text) }

func (p *Process) signal(s syscall.Signal) {
	p.t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		p.t.Fatalf("%s was not started", p.Name)
	}
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.t.Fatalf("send signal %q to %s: %v", s, p.Name, err)
	}
}

// exited reports whether the process exits within the given time, or was never started.
func (p *Process) exited(within time.Duration) bool {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done == nil {
		return true
	}
	select {
	case <-done:
		return true
	default:
	}
	select {
	case <-done:
		return true
	case <-time.After(within):
		return false
	}
}

// killIfRunning kills a process that is still running when the test ends.
func (p *Process) killIfRunning() {
	p.mu.Lock()
	cmd, done := p.cmd, p.done
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-done
}
