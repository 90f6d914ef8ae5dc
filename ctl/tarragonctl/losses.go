package tarragonctl

import (
	"bufio"
	"compress/gzip"
	"container/heap"
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonbank/tarragonbank/fleet/loss"
)

const (
	// defaultLossInterval groups jobs by the seconds in which they were submitted first.
	defaultLossInterval = time.Second
	// maxLogLine bounds a line of a log; a longer one ends the reading of its file.
	maxLogLine = 1 << 20
	// lossBarWidth is the longest bar of the plot.
	lossBarWidth = 50
)

// logSource is an open log and its next record.
type logSource struct {
	name    string
	scanner *bufio.Scanner
	next    loss.Record
	skipped int
}

// advance reads the next record and reports whether there is one.
func (s *logSource) advance() bool {
	for s.scanner.Scan() {
		if r, ok := loss.Parse(s.scanner.Bytes(), s.name); ok {
			s.next = r
			return true
		}
		if len(strings.TrimSpace(s.scanner.Text())) > 0 {
			s.skipped++
		}
	}
	return false
}

// logHeap orders logs by the time of their next record.
type logHeap []*logSource

func (h logHeap) Len() int           { return len(h) }
func (h logHeap) Less(i, j int) bool { return h[i].next.Time.Before(h[j].next.Time) }
func (h logHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push adds a log.
func (h *logHeap) Push(x any) { *h = append(*h, x.(*logSource)) }

// Pop removes the last log.
func (h *logHeap) Pop() any {
	x := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return x
}

// showLosses reads the logs merged by time and shows the jobs that were not done on time by cause.
func showLosses(_ context.Context, _ *Client, o Options, w io.Writer) error {
	if len(o.Files) == 0 {
		return trace.BadParameter("name the entries' logs with --log")
	}
	interval := o.Interval
	if interval <= 0 {
		interval = defaultLossInterval
	}
	a := loss.New(interval)
	h := logHeap{}
	sources := []*logSource{}
	for _, n := range o.Files {
		f, r, err := openLog(n)
		if err != nil {
			return err
		}
		defer f.Close()
		s := &logSource{name: n, scanner: bufio.NewScanner(r)}
		s.scanner.Buffer(nil, maxLogLine)
		sources = append(sources, s)
		if s.advance() {
			h = append(h, s)
		}
	}
	heap.Init(&h)
	for len(h) > 0 {
		a.Add(h[0].next)
		if h[0].advance() {
			heap.Fix(&h, 0)
			continue
		}
		heap.Pop(&h)
	}
	skipped := 0
	for _, s := range sources {
		if err := s.scanner.Err(); err != nil {
			return trace.Wrap(err, "reading "+s.name)
		}
		skipped += s.skipped
	}
	l := a.Finish()
	if o.JSON {
		return printJSON(w, lossReport{Jobs: l, LinesSkipped: skipped, LinesLate: a.Reordered})
	}
	return printLosses(w, l, skipped, a.Reordered)
}

// lossReport is the JSON form of the report.
type lossReport struct {
	Jobs         []loss.Count `json:"jobs"`
	LinesSkipped int          `json:"linesSkipped"`
	LinesLate    int          `json:"linesLate"`
}

func openLog(name string) (io.Closer, io.Reader, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, nil, trace.ConvertSystemError(err)
	}
	b := bufio.NewReader(f)
	if m, err := b.Peek(2); err != nil || m[0] != 0x1f || m[1] != 0x8b {
		return f, b, nil
	}
	z, err := gzip.NewReader(b)
	if err != nil {
		f.Close()
		return nil, nil, trace.Wrap(err, "reading "+name)
	}
	return f, z, nil
}

// printLosses prints the outcomes, the causes by queue and by data centre, and a plot of the losses over time.
func printLosses(w io.Writer, l []loss.Count, skipped, late int) error {
	total := 0
	causes, queues, centres := map[string]map[loss.Outcome]int{}, map[string]map[loss.Outcome]int{}, map[string]map[loss.Outcome]int{}
	add := func(m map[string]map[loss.Outcome]int, k string, c loss.Count) {
		if m[k] == nil {
			m[k] = map[loss.Outcome]int{}
		}
		m[k][c.Outcome] += c.Jobs
	}
	for _, c := range l {
		total += c.Jobs
		add(queues, c.Queue, c)
		add(centres, c.DataCentre, c)
		if c.Outcome != loss.OnTime {
			add(causes, c.Cause.String(), c)
		}
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%d finite jobs; %d lines skipped, %d out of order\n", total, skipped, late)
	for _, x := range []struct {
		title string
		rows  map[string]map[loss.Outcome]int
	}{{"CAUSE", causes}, {"QUEUE", queues}, {"DATA CENTRE", centres}} {
		fmt.Fprintf(t, "\n%s", x.title)
		for _, o := range loss.OutcomeValues() {
			fmt.Fprintf(t, "\t%s", strings.ToUpper(o.String()))
		}
		fmt.Fprintln(t)
		for _, k := range slices.Sorted(maps.Keys(x.rows)) {
			fmt.Fprint(t, orDash(k))
			for _, o := range loss.OutcomeValues() {
				fmt.Fprintf(t, "\t%d", x.rows[k][o])
			}
			fmt.Fprintln(t)
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	plotLosses(w, l)
	return nil
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// plotLosses prints a bar for each interval, # for jobs on time and - for others, with the causes.
func plotLosses(w io.Writer, l []loss.Count) {
	counts, totals, most := map[time.Time]map[loss.Cause]int{}, map[time.Time]int{}, 1
	const onTime = loss.Cause(-1)
	for _, c := range l {
		if counts[c.Begin] == nil {
			counts[c.Begin] = map[loss.Cause]int{}
		}
		k := c.Cause
		if c.Outcome == loss.OnTime {
			k = onTime
		}
		counts[c.Begin][k] += c.Jobs
		totals[c.Begin] += c.Jobs
		most = max(most, totals[c.Begin])
	}
	fmt.Fprintln(w, "\nTIME           JOBS  # on time; other jobs by cause")
	for _, at := range slices.SortedFunc(maps.Keys(counts), time.Time.Compare) {
		bar, detail := strings.Repeat("#", (counts[at][onTime]*lossBarWidth+most-1)/most), []string{}
		for _, c := range loss.CauseValues() {
			if n := counts[at][c]; n > 0 {
				bar += strings.Repeat("-", (n*lossBarWidth+most-1)/most)
				detail = append(detail, fmt.Sprintf("%s %d", c, n))
			}
		}
		fmt.Fprintf(w, "%s  %4d  %s %s\n", at.UTC().Format("15:04:05.000"), totals[at], bar, strings.Join(detail, ", "))
	}
}
