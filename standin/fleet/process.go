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

// stopTimeout bounds the orderly end of a process.
const stopTimeout = 20 * time.Second

// Process is one program of a fleet. It keeps its settings file over restarts.
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

// Start starts the program. The log of each start is appended.
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

// Stop asks the process to end and waits for it.
func (p *Process) Stop() {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	if !p.exited(stopTimeout) {
		p.t.Fatalf("%s did not end within %s of SIGTERM", p.Name, stopTimeout)
	}
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	p.t.Helper()
	p.signal(syscall.SIGKILL)
	if !p.exited(stopTimeout) {
		p.t.Fatalf("%s did not end within %s of SIGKILL", p.Name, stopTimeout)
	}
}

// Freeze stops the process from running until Thaw.
func (p *Process) Freeze() { p.t.Helper(); p.signal(syscall.SIGSTOP) }

// Thaw lets a frozen process run on.
func (p *Process) Thaw() { p.t.Helper(); p.signal(syscall.SIGCONT) }

// Alive reports whether the process has not ended.
func (p *Process) Alive() bool { return !p.exited(0) }

// Log returns the log of all starts.
func (p *Process) Log() string {
	data, err := os.ReadFile(p.logPath)
	if err != nil {
		return ""
	}
	return string(data)
}

// Logged reports whether a line of the log contains text.
func (p *Process) Logged(text string) bool { return strings.Contains(p.Log(), text) }

func (p *Process) signal(s syscall.Signal) {
	p.t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		p.t.Fatalf("%s was not started", p.Name)
	}
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.t.Fatalf("%s to %s: %v", s, p.Name, err)
	}
}

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

// killIfRunning kills a process that still runs at the killIfRunning of the test.
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
