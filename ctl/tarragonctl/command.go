package tarragonctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
)

// Command is an operator command. Name consists of one or two words, such as "config apply".
type Command struct {
	Name string
	Help string
	run  func(ctx context.Context, c *Client, o Options, w io.Writer) error
}

// Options holds the flags and positional arguments of all commands; each command uses some of them.
type Options struct {
	// Inventory and Rules are the names of the files to check or apply.
	Inventory string
	Rules     string
	Author    string
	Note      string
	// IdempotencyKey identifies a configuration change, so that a repeated request has no further effect.
	IdempotencyKey string
	// BaseRevision is the revision that a change is based on; if it is negative, the entry uses the one in force.
	BaseRevision int
	// TargetRevision is the revision to roll back to.
	TargetRevision int
	// Argument is the name of the pool, VM or file, or the ID of the job, that the command applies to.
	Argument string
	// JobID is the ID under which a job is submitted; a random one is used if it is empty.
	JobID string
	// File is the name of a file with a job to explain, and Workspace the workspace as which it would be submitted.
	File      string
	Workspace string
	// Queue restricts a list of jobs to one queue if it is set.
	Queue string
	// Files are the log files to read, Interval is the length of the intervals by which jobs are grouped.
	Files    []string
	Interval time.Duration
	// JSON selects JSON instead of text as the output format.
	JSON bool
}

var commands = []Command{
	{"status", "show the entry's readiness and active configuration, and what waits for the platform", showStatus},
	{"members", "list the entries known to this entry", listMembers},
	{"pools", "list the pools as seen by this entry", listPools},
	{"decisions", "list the latest routing and placement decisions", listDecisions},
	{"config show", "show the configuration in force", showConfig},
	{"config check", "validate the inventory and rules and show what would change", checkConfig},
	{"config apply", "apply the inventory and rules as a new revision", applyConfig},
	{"config history", "list the retained configuration revisions", listConfigHistory},
	{"config rollback", "apply an earlier configuration as a new revision", rollbackConfig},
	{"maintenance show", "show each pool's maintenance and what it waits for", showMaintenance},
	{"maintenance pause", "pause a pool's wave and return its draining VMs to service", changeMaintenance("pause")},
	{"maintenance resume", "resume a pool's wave with a width of one VM", changeMaintenance("resume")},
	{"maintenance halt", "halt a pool's wave until it is resumed", changeMaintenance("halt")},
	{"vm list", "list the VMs with their pools and phases", listVMs},
	{"vm explain", "show a VM's location and phase and the reason for the phase", explainVM},
	{"vm drain", "take a VM out of service, within its pool's budget", changeVM("drain")},
	{"vm undrain", "return a drained VM to service", changeVM("undrain")},
	{"config collect", "delete the sections that no retained configuration refers to", collectSections},
	{"job submit", "submit the job in a file", submitJob},
	{"job list", "list the known jobs, latest first", listJobs},
	{"job show", "show a job's phase and task counts", showJob},
	{"job explain", "show the state of each task of a job and what it waits for, or where the job in a file would be placed", explainJob},
	{"job wait", "print a job's progress until it ends", waitJob},
	{"job cancel", "cancel a job", cancelJob},
	{"queues", "list the job queues", listQueues},
	{"owner", "show the entry that owns all pools", showOwner},
	{"fleet pools", "list the capacity and demand of the pools that run jobs", listPoolCapacity},
	{"workspace list", "list the workspaces with what they have running, waiting and refused", listWorkspaces},
	{"workspace show", "show a workspace's weight, cap and use, and its share of each pool", showWorkspace},
	{"fleet losses", "tell from the entries' logs why jobs were not done on time", showLosses},
	{"fleet waves", "list the platform's maintenance waves and their progress", listWaves},
}

// Commands returns all commands.
func Commands() []Command {
	return commands
}

// UnknownCommandError reports that no command has the name.
type UnknownCommandError struct {
	Name string
}

// Error returns the message with the unknown name.
func (e *UnknownCommandError) Error() string {
	return fmt.Sprintf("unknown command %q", e.Name)
}

// Run executes the command with the given name and writes its result to w. It returns an UnknownCommandError if no such
// command exists.
func Run(ctx context.Context, name string, c *Client, o Options, w io.Writer) error {
	for _, x := range commands {
		if x.Name == name {
			return x.run(ctx, c, o, w)
		}
	}
	return trace.Wrap(&UnknownCommandError{Name: name})
}

// jsonObject is a JSON object whose fields are printed without interpretation.
type jsonObject map[string]any

func showStatus(ctx context.Context, c *Client, o Options, w io.Writer) error {
	var v jsonObject
	if err := c.Get(ctx, "/v1/status", &v); err != nil {
		return err
	}
	if o.JSON {
		return printJSON(w, v)
	}
	return printFields(w, v, "name", "dataCentre", "version", "ready", "reason", "revision", "accepted", "since",
		"watching", "platformHeard", "waiting", "inFlight", "logsDropped")
}

func listMembers(ctx context.Context, c *Client, o Options, w io.Writer) error {
	return printTable(ctx, c, o, w, "/v1/members", "name", "dataCentre", "state", "revision", "watching", "heard", "leaving")
}

func listPools(ctx context.Context, c *Client, o Options, w io.Writer) error {
	return printTable(ctx, c, o, w, "/v1/pools", "name", "granted", "load", "out")
}

func listDecisions(ctx context.Context, c *Client, o Options, w io.Writer) error {
	return printTable(ctx, c, o, w, "/v1/decisions", "time", "kind", "request", "service", "vm", "reason")
}

func listConfigHistory(ctx context.Context, c *Client, o Options, w io.Writer) error {
	return printTable(ctx, c, o, w, "/v1/config/history", "revision", "accepted", "author", "note", "changed")
}

// printTable requests a list of objects and prints it as a table with one object per line, or as JSON.
func printTable(ctx context.Context, c *Client, o Options, w io.Writer, path string, columns ...string) error {
	var l []jsonObject
	if err := c.Get(ctx, path, &l); err != nil {
		return err
	}
	if o.JSON {
		return printJSON(w, l)
	}
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, strings.Join(columns, "\t"))
	for _, v := range l {
		for _, k := range columns {
			fmt.Fprintf(t, "%v\t", v[k])
		}
		fmt.Fprintln(t)
	}
	return t.Flush()
}

func showConfig(ctx context.Context, c *Client, _ Options, w io.Writer) error {
	var v jsonObject
	if err := c.Get(ctx, "/v1/config", &v); err != nil {
		return err
	}
	return printJSON(w, v)
}

func checkConfig(ctx context.Context, c *Client, o Options, w io.Writer) error {
	return postConfig(ctx, c, o, w, true)
}

func applyConfig(ctx context.Context, c *Client, o Options, w io.Writer) error {
	return postConfig(ctx, c, o, w, false)
}

// postConfig posts the inventory and rules. With checkOnly, the entry validates them and reports the changes, but does
// not apply them.
func postConfig(ctx context.Context, c *Client, o Options, w io.Writer, checkOnly bool) error {
	i, err := os.ReadFile(o.Inventory)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	r, err := os.ReadFile(o.Rules)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	q := jsonObject{
		"inventory": string(i), "inventoryFile": o.Inventory, "rules": string(r), "rulesFile": o.Rules,
		"author": o.Author, "note": o.Note, "mark": o.IdempotencyKey, "check": checkOnly,
	}
	if o.BaseRevision >= 0 {
		q["base"] = o.BaseRevision
	}
	return postChange(ctx, c, w, "/v1/config", q)
}

func rollbackConfig(ctx context.Context, c *Client, o Options, w io.Writer) error {
	return postChange(ctx, c, w, "/v1/config/rollback", jsonObject{"revision": o.TargetRevision, "author": o.Author, "mark": o.IdempotencyKey})
}

// postChange posts a request for a change and prints the resulting revision and the names of the changed sections.
func postChange(ctx context.Context, c *Client, w io.Writer, path string, q jsonObject) error {
	var v struct {
		Revision uint64    `json:"revision"`
		Accepted time.Time `json:"accepted"`
		Changed  []string  `json:"changed"`
	}
	if err := c.Post(ctx, path, q, &v); err != nil {
		return err
	}
	fmt.Fprintf(w, "revision %d\n", v.Revision)
	for _, n := range v.Changed {
		fmt.Fprintf(w, "  changes %s\n", n)
	}
	return nil
}

func collectSections(ctx context.Context, c *Client, _ Options, w io.Writer) error {
	var v jsonObject
	if err := c.Post(ctx, "/v1/config/collect", jsonObject{}, &v); err != nil {
		return err
	}
	fmt.Fprintf(w, "deleted %v sections\n", v["deleted"])
	return nil
}

func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return trace.Wrap(e.Encode(v), "writing the result")
}

func showMaintenance(ctx context.Context, c *Client, o Options, w io.Writer) error {
	return printTable(ctx, c, o, w, "/v1/maintenance", "pool", "vms", "maxDown", "width", "phases", "due", "next", "oldest", "waits")
}

func listVMs(ctx context.Context, c *Client, o Options, w io.Writer) error {
	return printTable(ctx, c, o, w, "/v1/vms", "name", "pool", "home", "rack", "phase", "since", "maintained")
}

func explainVM(ctx context.Context, c *Client, o Options, w io.Writer) error {
	var v jsonObject
	if err := c.Get(ctx, "/v1/vms/"+url.PathEscape(o.Argument), &v); err != nil {
		return err
	}
	if o.JSON {
		return printJSON(w, v)
	}
	return printFields(w, v, "name", "pool", "home", "dataCentre", "rack", "phase", "since", "reason", "moved", "maintained", "seen", "waits")
}

// printFields prints the named fields of an object, one per line.
func printFields(w io.Writer, v jsonObject, names ...string) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	for _, k := range names {
		fmt.Fprintf(t, "%s\t%v\n", k, v[k])
	}
	return t.Flush()
}

// changeMaintenance returns a command that applies the verb to the maintenance of a pool.
func changeMaintenance(verb string) func(context.Context, *Client, Options, io.Writer) error {
	return func(ctx context.Context, c *Client, o Options, w io.Writer) error {
		return postChange(ctx, c, w, "/v1/maintenance/"+url.PathEscape(o.Argument)+"/"+verb, jsonObject{})
	}
}

// changeVM returns a command that applies the verb to a VM.
func changeVM(verb string) func(context.Context, *Client, Options, io.Writer) error {
	return func(ctx context.Context, c *Client, o Options, w io.Writer) error {
		return postChange(ctx, c, w, "/v1/vms/"+url.PathEscape(o.Argument)+"/"+verb, jsonObject{})
	}
}
