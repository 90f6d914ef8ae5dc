package process

import (
	"bytes"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"
)

const (
	// ticksPerSecond is the unit of CPU times in /proc/PID/stat, pageBytes that of memory sizes in /proc/PID/statm.
	ticksPerSecond = 100
	pageBytes      = 4096
)

// Process is a program that can be started repeatedly, one instance at a time.
type Process struct {
	Name     string
	program  string
	logFile  string
	command  *exec.Cmd
	done     chan struct{}
	exitCode int
	broken   atomic.Bool
	starts   atomic.Int64
}

// New returns a process that is not started yet. The output of the program is appended to the file log.
func New(name, program, log string) *Process {
	return &Process{Name: name, program: program, logFile: log}
}

// Start starts the program with the arguments; environment is added to the variables of the current process. It returns
// an error if the log file cannot be opened or the program cannot be started.
func (p *Process) Start(arguments, environment []string) error {
	w, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer w.Close()
	c := exec.Command(p.program, arguments...)
	c.Env = append(os.Environ(), environment...)
	c.Stdout = w
	c.Stderr = w
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return trace.Wrap(err, "starting %s", p.Name)
	}
	p.command = c
	p.starts.Add(1)
	p.done = make(chan struct{})
	go func(done chan struct{}) {
		_ = c.Wait()
		p.exitCode = c.ProcessState.ExitCode()
		p.broken.Store(p.broken.Load() || p.exitCode > 0)
		close(done)
	}(p.done)
	return nil
}

// StartCount returns the number of times that the program was started.
func (p *Process) StartCount() int64 {
	return p.starts.Load()
}

// ExitedWithError reports whether any instance of the program exited with a positive code. Death by a signal does not
// count.
func (p *Process) ExitedWithError() bool {
	return p.broken.Load()
}

// Done returns a channel that is closed when the instance started last has exited.
func (p *Process) Done() <-chan struct{} {
	return p.done
}

// ExitCode returns the exit code of the instance that exited last, -1 if it was killed by a signal.
func (p *Process) ExitCode() int {
	return p.exitCode
}

// Signal sends a signal to the program.
func (p *Process) Signal(s os.Signal) {
	if p.command != nil {
		_ = p.command.Process.Signal(s)
	}
}

// Kill sends SIGKILL to the program and waits until it has exited.
func (p *Process) Kill() {
	if p.command == nil {
		return
	}
	_ = p.command.Process.Kill()
	<-p.done
}

// Terminate sends SIGTERM to the program and returns its exit code, or -1 if it does not exit within the limit.
func (p *Process) Terminate(limit time.Duration) int {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return p.exitCode
	case <-time.After(limit):
		return -1
	}
}

// Usage is the CPU time that the program has consumed and its resident memory.
type Usage struct {
	CPUTime       time.Duration
	ResidentBytes int64
}

// Usage reads the program's CPU time and resident memory from /proc.
func (p *Process) Usage() (Usage, error) {
	f := "/proc/" + strconv.Itoa(p.command.Process.Pid)
	s, err := os.ReadFile(f + "/stat")
	if err != nil {
		return Usage{}, trace.ConvertSystemError(err)
	}
	m, err := os.ReadFile(f + "/statm")
	if err != nil {
		return Usage{}, trace.ConvertSystemError(err)
	}
	l := strings.Fields(string(s[strings.LastIndexByte(string(s), ')')+1:]))
	user, err := strconv.Atoi(l[11])
	if err != nil {
		return Usage{}, trace.Wrap(err, "reading the CPU time of %s", p.Name)
	}
	system, err := strconv.Atoi(l[12])
	if err != nil {
		return Usage{}, trace.Wrap(err, "reading the CPU time of %s", p.Name)
	}
	pages, err := strconv.ParseInt(strings.Fields(string(m))[1], 10, 64)
	if err != nil {
		return Usage{}, trace.Wrap(err, "reading the memory of %s", p.Name)
	}
	return Usage{CPUTime: time.Duration(user+system) * time.Second / ticksPerSecond, ResidentBytes: pages * pageBytes}, nil
}

// HasReportedRace reports whether the log has a report of the race detector, with which the program may be built. It returns an error if
// the log cannot be read.
func (p *Process) HasReportedRace() (bool, error) {
	b, err := os.ReadFile(p.logFile)
	return bytes.Contains(b, []byte("WARNING: DATA RACE")), trace.ConvertSystemError(err)
}

// PID returns the ID of the instance started last.
func (p *Process) PID() int {
	return p.command.Process.Pid
}
