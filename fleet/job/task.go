package job

import (
	"fmt"
	"strconv"
	"strings"
)

// Task identifies one task of a job.
type Task struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// MalformedTaskError reports a task name that cannot be parsed.
type MalformedTaskError struct {
	Name string
}

// Error describes the failure in one line.
func (e *MalformedTaskError) Error() string {
	return fmt.Sprintf("%q does not name a task", e.Name)
}

// taskNameParts is the number of dot-separated parts of a task name: job, occurrence, step and index.
const taskNameParts = 4

// String returns the task's name.
func (t Task) String() string {
	return t.StepName() + "." + strconv.Itoa(t.Index)
}

// StepName returns the name that all tasks of the same step and occurrence share.
func (t Task) StepName() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step)
}

// ParseTask parses a task name; it returns a MalformedTaskError for an invalid one.
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
