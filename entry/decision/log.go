package decision

import (
	"bufio"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tarragonbank/tarragonbank/entry/processor"
)

const (
	queueCapacity = 8192
	// bufferBytes is what one write to standard output takes at most. A pipe takes writes of up to 4 KB as a whole, so that
	// lines are neither torn nor mixed with those of other processes.
	bufferBytes = 4096
	recentCount = 64
	// maxTextBytes is the length to which a text of a record is cut, so that the queue holds no texts of callers in full.
	maxTextBytes  = 1024
	flushInterval = 100 * time.Millisecond
)

// Kind is the kind of a decision.
type Kind int

// The kinds of decisions. Their names are written to the log, with a lower-case initial.
//
//go:generate enumer -type=Kind -transform=title-lower -json
const (
	Route Kind = iota
	Refuse
	Retry
	Answer
	Health
	Grant
	Config
	Membership
	Claim
	Lifecycle
	Maintenance
	Job
	Task
	Server
	Ownership
	Dependency
)

// Record is one decision and its reason. Optional fields without a value are omitted.
type Record struct {
	Time    time.Time `json:"time"`
	Kind    Kind      `json:"kind"`
	Request string    `json:"request,omitempty"`
	Service string    `json:"service,omitempty"`
	Pool    string    `json:"pool,omitempty"`
	VM      string    `json:"vm,omitempty"`
	Reason  string    `json:"reason"`
	// Cause is the kind of reason of a refusal, DataCentre that of the entry.
	Cause      string        `json:"cause,omitempty"`
	DataCentre string        `json:"dataCentre,omitempty"`
	Attempt    int           `json:"attempt,omitempty"`
	Duration   time.Duration `json:"durationNs,omitempty"`
	Revision   uint64        `json:"revision,omitempty"`
	Task       string        `json:"task,omitempty"`
	Run        int           `json:"run,omitempty"`
	Age        time.Duration `json:"ageNs,omitempty"`
}

// Log queues records and writes them from one goroutine. If the queue is full, records are dropped and counted.
type Log struct {
	logger *logrus.Logger
	buffer *bufio.Writer
	queue  chan Record
	// stopping is closed by Close, done once all lines are written. The queue stays open, since records may be added until the
	// process has ended.
	stopping   chan struct{}
	done       chan struct{}
	dropped    atomic.Uint64
	written    atomic.Uint64
	lock       sync.Mutex
	recent     [recentCount]Record
	nextRecent int
	account    *processor.Account
	// record and entry are what run writes.
	record Record
	entry  *logrus.Entry
}

// Option configures a new Log.
type Option func(l *Log)

// WithAccount counts the time that the lines take.
func WithAccount(a *processor.Account) Option {
	return func(l *Log) { l.account = a }
}

// New creates a log that writes JSON lines to w. Close must be called to stop it.
func New(w io.Writer, level logrus.Level, opts ...Option) *Log {
	b := bufio.NewWriterSize(w, bufferBytes)
	g := logrus.New()
	g.SetOutput(wholeLines{b})
	g.SetLevel(level)
	g.SetFormatter(newLineFormatter())
	l := &Log{logger: g, buffer: b, queue: make(chan Record, queueCapacity), stopping: make(chan struct{}), done: make(chan struct{})}
	l.entry = logrus.NewEntry(g)
	l.entry.Message, l.entry.Data = "decision", logrus.Fields{recordField: &l.record}
	for _, o := range opts {
		o(l)
	}
	go l.run()
	return l
}

// wholeLines writes lines to a buffer that is flushed between lines only, unless a line is longer than the buffer.
type wholeLines struct{ buffer *bufio.Writer }

// Write writes one line.
func (w wholeLines) Write(p []byte) (int, error) {
	if len(p) > w.buffer.Available() {
		if err := w.buffer.Flush(); err != nil {
			return 0, err
		}
	}
	return w.buffer.Write(p)
}

// Add queues a record without blocking, or drops it if the queue is full. Records that are added during or after Close may be lost.
// Longer texts than maxTextBytes are cut.
func (l *Log) Add(r Record) {
	for _, t := range []*string{&r.Request, &r.Service, &r.Pool, &r.VM, &r.Task, &r.Reason} {
		if len(*t) > maxTextBytes {
			*t = strings.ToValidUTF8((*t)[:maxTextBytes], "") + "..."
		}
	}
	select {
	case l.queue <- r:
	default:
		l.dropped.Add(1)
	}
}

// Dropped returns the number of records that were dropped because the queue was full or their line could not be written.
func (l *Log) Dropped() uint64 {
	return l.dropped.Load()
}

// Written returns the number of records written.
func (l *Log) Written() uint64 {
	return l.written.Load()
}

// Close writes the queued records and stops the log.
func (l *Log) Close() {
	close(l.stopping)
	<-l.done
}

// Recent returns up to 64 of the latest records, oldest first.
func (l *Log) Recent() []Record {
	l.lock.Lock()
	defer l.lock.Unlock()
	r := []Record{}
	for i := range recentCount {
		x := l.recent[(l.nextRecent+i)%recentCount]
		if !x.Time.IsZero() {
			r = append(r, x)
		}
	}
	return r
}

func (l *Log) run() {
	defer close(l.done)
	t := time.NewTicker(flushInterval)
	defer t.Stop()
	for {
		select {
		case r := <-l.queue:
			l.write(r)
		case <-t.C:
			_ = l.buffer.Flush()
		case <-l.stopping:
			l.writeQueued()
			return
		}
	}
}

// writeQueued writes the records that are queued now.
func (l *Log) writeQueued() {
	for range len(l.queue) {
		l.write(<-l.queue)
	}
	_ = l.buffer.Flush()
}

func (l *Log) write(r Record) {
	defer l.account.Since(processor.Log, time.Now())
	l.addRecent(r)
	level := logrus.InfoLevel
	if r.Kind == Health || r.Kind == Membership {
		level = logrus.WarnLevel
	}
	if !l.logger.IsLevelEnabled(level) {
		l.written.Add(1)
		return
	}
	// The entry is the same for all lines, since making one for each takes as long as its formatting.
	l.record, l.entry.Time, l.entry.Level = r, r.Time, level
	b, err := l.logger.Formatter.Format(l.entry)
	if err == nil {
		_, err = l.logger.Out.Write(b)
	}
	if err != nil {
		l.dropped.Add(1)
		return
	}
	l.written.Add(1)
}

func (l *Log) addRecent(r Record) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.recent[l.nextRecent] = r
	l.nextRecent = (l.nextRecent + 1) % recentCount
}
