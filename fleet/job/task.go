package job

import (
	"fmt"
	"strconv"
	"strings"
)

// Task names one task of a job.
type Task struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// MalformedTaskError reports a task's name that cannot be read.
type MalformedTaskError struct {
	Name string
}

// Error describes the failure in one line.
func (e *MalformedTaskError) Error() string {
	return fmt.Sprintf("%q does not name a task", e.Name)
}

const taskNameParts = 4

// String is the task's name.
func (t Task) String() string {
	return t.StepName() + "." + strconv.Itoa(t.Index)
}

// StepName names the step of the occurrence that the task belongs to.
func (t Task) StepName() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step)
}

// ParseTask reads a task's name; it fails with a MalformedTaskError.
func ParseTask(name string) (Task, error) {
	p := strings.Split(name, ".")
	if len(p) != taskNameParts {
		return Task{}, &MalformedTaskError{name}
	}
	n := [taskNameParts - 1]int{}
	for i := range n {
		v, err := strconv.Atoi(p[i+1])
		if err != nil || v < 0 {
			return Task{}, &MalformedTaskError{name}
		}
		n[i] = v
	}
	return Task{Job: p[0], Occurrence: n[0], Step: n[1], Index: n[2]}, nil
}
