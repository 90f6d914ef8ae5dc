package loss

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// retention is how long after its last line a job is kept. Callers return for some seconds, jobs take some more.
const retention = time.Minute

// Analysis collects jobs from log records in the order of time. It is not safe for concurrent use.
type Analysis struct {
	interval time.Duration
	jobs     map[string]*jobTrace
	cells    map[Cell]int
	// storeAway and noOwner are the outages of the store and the times without an owner. moves holds the moves to each pool.
	storeAway, noOwner []outage
	moves              map[string][]outage
	movesOf            map[string]string
	dataCentres        map[string]string
	last, prunedAt     time.Time
	// Skipped counts lines that could not be read, Reordered those that came more than a second late.
	Skipped, Reordered int
}

// Cell is a group of jobs with the same outcome for the same cause.
type Cell struct {
	// Begin is the start of the interval in which the jobs were first submitted.
	Begin      time.Time `json:"begin"`
	Queue      string    `json:"queue"`
	DataCentre string    `json:"dataCentre"`
	Outcome    Outcome   `json:"outcome"`
	// Cause is the zero value for jobs that were on time.
	Cause Cause `json:"cause"`
}

// Count is the number of jobs in a cell.
type Count struct {
	Cell
	Jobs int `json:"jobs"`
}

// New returns an analysis that groups jobs by intervals of the given length.
func New(interval time.Duration) *Analysis {
	return &Analysis{
		interval: interval, jobs: map[string]*jobTrace{}, cells: map[Cell]int{}, moves: map[string][]outage{}, movesOf: map[string]string{},
		dataCentres: map[string]string{},
	}
}

// maxReorder is how much earlier than the line before it a line may be; clocks of entries differ by less.
const maxReorder = time.Second

// AddLine parses a line of a log and adds it. Lines of other programs and torn ones are counted.
func (a *Analysis) AddLine(line []byte, source string) {
	if r, ok := Parse(line, source); ok {
		a.Add(r)
		return
	}
	if len(strings.TrimSpace(string(line))) > 0 {
		a.Skipped++
	}
}

// Add adds a record.
func (a *Analysis) Add(r Record) {
	if r.Time.Before(a.last.Add(-maxReorder)) {
		a.Reordered++
	}
	if r.Time.After(a.last) {
		a.last = r.Time
	}
	a.observe(r)
	if r.Request == "" && r.Task != "" {
		r.Request, _, _ = strings.Cut(r.Task, ".")
	}
	if r.Request == "" || r.Kind != "answer" && r.Kind != "job" && r.Kind != "task" {
		return
	}
	j := a.jobs[r.Request]
	if j == nil {
		if r.Kind == "task" || r.Kind == "answer" && !strings.HasPrefix(r.Reason, ReasonSubmission) {
			return
		}
		j = &jobTrace{id: r.Request, running: map[string]bool{}, lost: map[Cause]time.Duration{}, lostRuns: map[string]lostRun{}}
		a.jobs[r.Request] = j
	}
	if r.DataCentre == "" {
		r.DataCentre = a.dataCentres[r.Source]
	}
	if r.Cause == "capacity" && a.waits(r.Pool, r.Time.Add(-time.Nanosecond), r.Time)[VMOnTheWay] > 0 {
		r.Cause = causeVMOnTheWay
	}
	j.add(r, a.waits)
	a.prune()
}

// observe follows the store, the owners and the moves of VMs.
func (a *Analysis) observe(r Record) {
	switch {
	case r.DataCentre != "" && r.Kind == "lifecycle":
		a.dataCentres[r.Source] = r.DataCentre
	case strings.HasPrefix(r.Reason, ReasonCommitFailed):
		a.storeAway = begin(a.storeAway, r.Time)
	case r.Reason == ReasonCommitsSucceed:
		a.storeAway = finish(a.storeAway, r.Time)
	case strings.HasPrefix(r.Reason, ReasonTermEnded):
		a.storeAway = finish(a.storeAway, r.Time)
		a.noOwner = begin(a.noOwner, r.Time)
	case r.Reason == ReasonTermStarted:
		a.noOwner = finish(a.noOwner, r.Time)
	case r.Kind == "maintenance" && strings.HasPrefix(r.Reason, ReasonMoveToPool):
		a.movesOf[r.VM] = r.Pool
		a.moves[r.Pool] = append(a.moves[r.Pool], outage{from: r.Time})
	case r.Reason == ReasonVMBack:
		if p, ok := a.movesOf[r.VM]; ok {
			a.moves[p] = finish(a.moves[p], r.Time)
			delete(a.movesOf, r.VM)
		}
	}
}

func begin(l []outage, at time.Time) []outage {
	if len(l) > 0 && l[len(l)-1].to.IsZero() {
		return l
	}
	return append(l, outage{from: at})
}

// finish ends the first outage that lasts.
func finish(l []outage, at time.Time) []outage {
	for i := range l {
		if l[i].to.IsZero() {
			l[i].to = at
			break
		}
	}
	return l
}

// waits splits the time in which a job waited for its next run.
func (a *Analysis) waits(pool string, from, to time.Time) map[Cause]time.Duration {
	m := map[Cause]time.Duration{StoreAway: overlap(a.storeAway, from, to), NoOwner: overlap(a.noOwner, from, to)}
	rest := to.Sub(from) - m[StoreAway] - m[NoOwner]
	c := PoolFull
	if slices.ContainsFunc(a.moves[pool], func(o outage) bool { return overlap([]outage{o}, from, to) > 0 }) {
		c = VMOnTheWay
	}
	m[c] += max(rest, 0)
	return m
}

// Open returns the number of jobs that are not counted yet.
func (a *Analysis) Open() int {
	return len(a.jobs)
}

// prune counts the jobs without a line for the retention, and forgets what was away before it.
func (a *Analysis) prune() {
	if a.last.Sub(a.prunedAt) < retention/2 {
		return
	}
	a.prunedAt = a.last
	for id, j := range a.jobs {
		if a.last.Sub(j.lastSeen) > retention {
			a.count(j)
			delete(a.jobs, id)
		}
	}
	old := func(o outage) bool { return !o.to.IsZero() && a.last.Sub(o.to) > 2*retention }
	a.storeAway, a.noOwner = slices.DeleteFunc(a.storeAway, old), slices.DeleteFunc(a.noOwner, old)
	for p := range a.moves {
		a.moves[p] = slices.DeleteFunc(a.moves[p], old)
	}
}

func (a *Analysis) count(j *jobTrace) {
	if j.excluded {
		return
	}
	o := j.result()
	c := Cell{Begin: j.firstSeen.Truncate(a.interval), Queue: cmp.Or(j.queue, j.pool), DataCentre: j.dataCentre, Outcome: o}
	if o != OnTime {
		c.Cause = j.cause()
	}
	a.cells[c]++
}

// Finish counts the remaining jobs and returns all cells in the order of time.
func (a *Analysis) Finish() []Count {
	for id, j := range a.jobs {
		a.count(j)
		delete(a.jobs, id)
	}
	l := []Count{}
	for _, c := range slices.SortedFunc(maps.Keys(a.cells), compareCells) {
		l = append(l, Count{c, a.cells[c]})
	}
	return l
}

func compareCells(a, b Cell) int {
	return cmp.Or(
		a.Begin.Compare(b.Begin), cmp.Compare(a.Queue, b.Queue), cmp.Compare(a.DataCentre, b.DataCentre),
		cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Cause, b.Cause),
	)
}
