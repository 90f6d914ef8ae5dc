package tarragonctl

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
)

// workspaceStatus is the status of a workspace as an entry reports it. 64-bit integers are strings in it because the JSON
// encoding of Protocol Buffers writes them so.
type workspaceStatus struct {
	Name         string            `json:"name"`
	Weight       float64           `json:"weight"`
	Cap          resourceAmount    `json:"cap"`
	Running      resourceAmount    `json:"running"`
	TasksRunning int               `json:"tasksRunning"`
	TasksWaiting int               `json:"tasksWaiting"`
	Jobs         int               `json:"jobs"`
	Refused      map[string]string `json:"refused"`
	Shares       []workspaceShare  `json:"shares"`
}

// resourceAmount is an amount of each resource.
type resourceAmount struct {
	CPUMilli     string `json:"cpuMilli"`
	MemoryMB     string `json:"memoryMb"`
	Accelerators string `json:"accelerators"`
}

// workspaceShare is what a workspace uses of a pool and its fair share, as fractions of the pool.
type workspaceShare struct {
	Pool string  `json:"pool"`
	Used float64 `json:"used"`
	Fair float64 `json:"fair"`
}

// amount formats the resources that are not 0. none is the text for an amount without any.
func (a resourceAmount) amount(none string) string {
	l := []string{}
	if n, err := strconv.ParseInt(a.CPUMilli, 10, 64); err == nil && n != 0 {
		l = append(l, strconv.FormatFloat(float64(n)/1000, 'f', -1, 64)+" cores")
	}
	if a.MemoryMB != "" && a.MemoryMB != "0" {
		l = append(l, a.MemoryMB+" MB")
	}
	if a.Accelerators != "" && a.Accelerators != "0" {
		l = append(l, a.Accelerators+" accelerators")
	}
	if len(l) == 0 {
		return none
	}
	return strings.Join(l, ", ")
}

// refusals formats the number of refused submissions by reason.
func (v workspaceStatus) refusals() string {
	l := []string{}
	for _, k := range slices.Sorted(maps.Keys(v.Refused)) {
		l = append(l, v.Refused[k]+" "+k)
	}
	if len(l) == 0 {
		return "none"
	}
	return strings.Join(l, ", ")
}

func listWorkspaces(ctx context.Context, c *Client, o Options, w io.Writer) error {
	var l []workspaceStatus
	if err := c.Get(ctx, "/v1/workspaces", &l); err != nil {
		return err
	}
	if o.JSON {
		return printJSON(w, l)
	}
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "name\tweight\tjobs\ttasksRunning\ttasksWaiting\trunning\tcap\trefused")
	for _, v := range l {
		fmt.Fprintf(t, "%s\t%v\t%d\t%d\t%d\t%s\t%s\t%s\n", v.Name, v.Weight, v.Jobs, v.TasksRunning, v.TasksWaiting,
			v.Running.amount("nothing"), v.Cap.amount("no limit"), v.refusals())
	}
	return t.Flush()
}

func showWorkspace(ctx context.Context, c *Client, o Options, w io.Writer) error {
	var v workspaceStatus
	if err := c.Get(ctx, "/v1/workspaces/"+url.PathEscape(o.Argument), &v); err != nil {
		return err
	}
	if o.JSON {
		return printJSON(w, v)
	}
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintf(t, "name\t%s\nweight\t%v\ncap\t%s\nrunning\t%s\n", v.Name, v.Weight, v.Cap.amount("no limit"), v.Running.amount("nothing"))
	fmt.Fprintf(t, "tasksRunning\t%d\ntasksWaiting\t%d\njobs\t%d\nrefused\t%s\n", v.TasksRunning, v.TasksWaiting, v.Jobs, v.refusals())
	if err := t.Flush(); err != nil || len(v.Shares) == 0 {
		return err
	}
	fmt.Fprintln(t, "\npool\tused\tfair share")
	for _, x := range v.Shares {
		fmt.Fprintf(t, "%s\t%.1f%%\t%.1f%%\n", x.Pool, x.Used*100, x.Fair*100)
	}
	return t.Flush()
}
