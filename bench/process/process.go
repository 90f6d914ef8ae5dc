package process

import (
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
	ticksPerSecond = 100
	pageBytes      = 4096
)

// Process is a program that can be started, stopped and started again.
type Process struct {
	Name    string
	program string
	log     string
	command *exec.Cmd
	done    chan struct{}
	code    int
	broken  atomic.Bool
	run     atomic.Int64
}

// New makes a process that is not started; what it writes is added to the log file.
func New(name, program, log string) *Process {
	return &Process{Name: name, program: program, log: log}
}

// Start starts the program with arguments and variables that are added to this process's own.
func (p *Process) Start(arguments, environment []string) error {
	w, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
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
	p.run.Add(1)
	p.done = make(chan struct{})
	go func(done chan struct{}) {
		_ = c.Wait()
		p.code = c.ProcessState.ExitCode()
		p.broken.Store(p.broken.Load() || p.code > 0)
		close(done)
	}(p.done)
	return nil
}

// StartCount counts how often the program was started.
func (p *Process) StartCount() int64 {
	return p.run.Load()
}

// Broken says whether the program ever ended by itself with a failure.
func (p *Process) Broken() bool {
	return p.broken.Load()
}

// Done is closed when the program that was started last has ended.
func (p *Process) Done() <-chan struct{} {
	return p.done
}

// ExitCode is the exit code of the program that ended last.
func (p *Process) ExitCode() int {
	return p.code
}

// Signal sends a signal to the program.
func (p *Process) Signal(s os.Signal) {
	if p.command != nil {
		_ = p.command.Process.Signal(s)
	}
}

// Kill ends the program at once and waits for its end.
func (p *Process) Kill() {
	if p.command == nil {
		return
	}
	_ = p.command.Process.Kill()
	<-p.done
}

// Terminate asks the program to end and returns its exit code, or -1 where it did not end in time.
func (p *Process) Terminate(limit time.Duration) int {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return p.code
	case <-time.After(limit):
		return -1
	}
}

// Usage is what the program has used.
type Usage struct {
	CPUTime       time.Duration
	ResidentBytes int64
}

// Usage reads the program's processor time and resident memory in bytes.
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
		return Usage{}, trace.Wrap(err, "reading the processor time of %s", p.Name)
	}
	system, err := strconv.Atoi(l[12])
	if err != nil {
		return Usage{}, trace.Wrap(err, "reading the processor time of %s", p.Name)
	}
	pages, err := strconv.ParseInt(strings.Fields(string(m))[1], 10, 64)
	if err != nil {
		return Usage{}, trace.Wrap(err, "reading the memory of %s", p.Name)
	}
	return Usage{CPUTime: time.Duration(user+system) * time.Second / ticksPerSecond, ResidentBytes: pages * pageBytes}, nil
}
