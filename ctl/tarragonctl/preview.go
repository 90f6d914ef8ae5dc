package tarragonctl

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/url"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
)

// jobPreview tells how a job would be decided if it were submitted now, as an entry reports it.
type jobPreview struct {
	Accepted bool   `json:"accepted"`
	Reason   string `json:"reason"`
	// RetryAfterMs is a string, as ExpectedStartMs is, because the JSON encoding of Protocol Buffers writes 64-bit integers so.
	RetryAfterMs string        `json:"retryAfterMs"`
	Tasks        []taskPreview `json:"tasks"`
}

// taskPreview tells where a task would be placed.
type taskPreview struct {
	Task            string         `json:"task"`
	Server          string         `json:"server"`
	Cost            float64        `json:"cost"`
	Alternatives    []serverCost   `json:"alternatives"`
	Excluded        map[string]int `json:"excluded"`
	WaitsFor        string         `json:"waitsFor"`
	ExpectedStartMs string         `json:"expectedStartMs"`
}

// serverCost is the placement cost of a server; the lowest one is chosen.
type serverCost struct {
	Server string  `json:"server"`
	Cost   float64 `json:"cost"`
}

// previewJob asks where the job in a file would be placed now, without submitting it.
func previewJob(ctx context.Context, c *Client, o Options, w io.Writer) error {
	b, contentType, err := readJobFile(o.File)
	if err != nil {
		return err
	}
	id := o.JobID
	if id == "" {
		if id, err = newJobID(); err != nil {
			return trace.Wrap(err, "generating a job ID")
		}
	}
	q := fileQuery(o.File, id)
	if o.Workspace != "" {
		q.Set("workspace", o.Workspace)
	}
	var v jobPreview
	if err := c.PostBody(ctx, "/v1/preview?"+q.Encode(), contentType, b, &v); err != nil {
		return err
	}
	if o.JSON {
		return printJSON(w, v)
	}
	return v.print(w)
}

func (v jobPreview) print(w io.Writer) error {
	if !v.Accepted {
		_, err := fmt.Fprintf(w, "would be refused: %s\nretry after: %s\n", v.Reason, milliseconds(v.RetryAfterMs))
		return err
	}
	fmt.Fprintln(w, "would be accepted: "+v.Reason)
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "task\tserver\tcost\tnext best\texpected start\twaits for\tservers ruled out")
	for _, x := range v.Tasks {
		cost := ""
		if x.Server != "" {
			cost = formatCost(x.Cost)
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", x.Task, x.Server, cost, x.nextBest(), x.expectedStart(), x.WaitsFor, x.ruledOut())
	}
	return t.Flush()
}

func formatCost(x float64) string {
	return strconv.FormatFloat(x, 'f', 2, 64)
}

func (x taskPreview) nextBest() string {
	l := []string{}
	for _, a := range x.Alternatives {
		l = append(l, a.Server+" "+formatCost(a.Cost))
	}
	return strings.Join(l, ", ")
}

func (x taskPreview) ruledOut() string {
	l := []string{}
	for _, k := range slices.Sorted(maps.Keys(x.Excluded)) {
		l = append(l, fmt.Sprintf("%d %s", x.Excluded[k], k))
	}
	return strings.Join(l, ", ")
}

func (x taskPreview) expectedStart() string {
	n, err := strconv.ParseInt(x.ExpectedStartMs, 10, 64)
	if err != nil || n == 0 {
		return "unknown"
	}
	return time.UnixMilli(n).UTC().Format(time.RFC3339)
}

func milliseconds(s string) time.Duration {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Millisecond
}

// fileQuery returns the query of a request with a job file.
func fileQuery(name, id string) url.Values {
	return url.Values{"file": {filepath.Base(name)}, "id": {id}}
}
