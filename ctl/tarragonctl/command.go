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

// Command is one thing that an operator can ask, found by its words.
type Command struct {
	Name string
	Help string
	run  func(ctx context.Context, c *Client, o Options, w io.Writer) error
}

// Options are the flags of all commands.
type Options struct {
	Inventory      string
	Rules          string
	Author         string
	Note           string
	IdempotencyKey string
	BaseRevision   int
	TargetRevision int
	// Argument is the pool, VM, job or file that the command is about.
	Argument string
	// JobID is the identity of a job that is submitted, Queue narrows a list of jobs.
	JobID string
	Queue string
	JSON  bool
}

// commands are all commands by their words.
var commands = []Command{
	{"status", "what the entry has in force and what waits", showStatus},
	{"members", "the entries that this one knows", listMembers},
	{"pools", "the pools as this entry sees them", listPools},
	{"decisions", "the last routing and placement decisions", listDecisions},
	{"config show", "the configuration in force", showConfig},
	{"config check", "check the inventory and rules and show what would change", checkConfig},
	{"config apply", "have the inventory and rules accepted", applyConfig},
	{"config history", "the configurations that are kept", listConfigHistory},
	{"config rollback", "have an older configuration accepted as a new revision", rollbackConfig},
	{"maintenance show", "each pool's maintenance, and what it waits for", showMaintenance},
	{"maintenance pause", "pause a pool's wave; what is drained goes back", changeMaintenance("pause")},
	{"maintenance resume", "let a pool's wave begin again with one VM", changeMaintenance("resume")},
	{"maintenance halt", "stop a pool's wave until it is resumed", changeMaintenance("halt")},
	{"vm list", "each VM's pool and phase", listVMs},
	{"vm explain", "why a VM is where it is", explainVM},
	{"vm drain", "take a VM out of service, within its pool's budget", changeVM("drain")},
	{"vm undrain", "give a VM back that was drained", changeVM("undrain")},
	{"config collect", "delete sections that no kept configuration names", collectSections},
	{"job submit", "have the job in a file accepted", submitJob},
	{"job list", "the jobs that are known, the latest first", listJobs},
	{"job show", "where a job stands", showJob},
	{"job explain", "where each task of a job stands and what it waits for", explainJob},
	{"job wait", "show a job's progress until it has ended", waitJob},
	{"job cancel", "cancel a job", cancelJob},
	{"queues", "the queues that take jobs", listQueues},
	{"owner", "the entry that owns all pools", showOwner},
	{"fleet pools", "what the pools that run jobs have, and what their work asks for", listPoolCapacity},
	{"fleet waves", "the waves of maintenance and what they have done", listWaves},
}

// Commands lists all commands.
func Commands() []Command {
	return commands
}

// UnknownCommandError reports words that are no command.
type UnknownCommandError struct {
	Name string
}

// Error describes the failure in one line.
func (e *UnknownCommandError) Error() string {
	return fmt.Sprintf("unknown command %q", e.Name)
}

// Run runs the command with the words and writes its result.
func Run(ctx context.Context, name string, c *Client, o Options, w io.Writer) error {
	for _, x := range commands {
		if x.Name == name {
			return x.run(ctx, c, o, w)
		}
	}
	return trace.Wrap(&UnknownCommandError{Name: name})
}

// jsonObject is JSON whose fields are shown as they are.
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

// printTable shows a list of objects, one a line.
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

// printFields shows an object, a field a line.
func printFields(w io.Writer, v jsonObject, names ...string) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	for _, k := range names {
		fmt.Fprintf(t, "%s\t%v\n", k, v[k])
	}
	return t.Flush()
}

func changeMaintenance(verb string) func(context.Context, *Client, Options, io.Writer) error {
	return func(ctx context.Context, c *Client, o Options, w io.Writer) error {
		return postChange(ctx, c, w, "/v1/maintenance/"+url.PathEscape(o.Argument)+"/"+verb, jsonObject{})
	}
}

func changeVM(verb string) func(context.Context, *Client, Options, io.Writer) error {
	return func(ctx context.Context, c *Client, o Options, w io.Writer) error {
		return postChange(ctx, c, w, "/v1/vms/"+url.PathEscape(o.Argument)+"/"+verb, jsonObject{})
	}
}
