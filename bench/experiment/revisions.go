package experiment

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/tarragonbank/tarragonbank/bench/site"
)

const revisionPollInterval = 20 * time.Millisecond

// revisionWatch polls the revision that each entry has in force and notes when it decreases.
type revisionWatch struct {
	stop    context.CancelFunc
	done    sync.WaitGroup
	lock    sync.Mutex
	reverts []string
	seen    map[string]uint64
}

// watchRevisions starts to poll the entries. Each process of an entry is tracked by itself, because an entry that
// restarts begins without a revision.
func watchRevisions(ctx context.Context, s *site.Site) *revisionWatch {
	ctx, stop := context.WithCancel(ctx)
	w := &revisionWatch{stop: stop, seen: map[string]uint64{}}
	for _, y := range s.Entries {
		w.done.Add(1)
		go func() {
			defer w.done.Done()
			for ctx.Err() == nil {
				run := y.StartCount()
				v, err := y.Status(ctx)
				if err == nil && run == y.StartCount() {
					w.record(fmt.Sprintf("%s/%d", y.Name, run), v.Revision)
				}
				sleep(ctx, revisionPollInterval)
			}
		}()
	}
	return w
}

func (w *revisionWatch) record(name string, v uint64) {
	w.lock.Lock()
	defer w.lock.Unlock()
	if v < w.seen[name] {
		w.reverts = append(w.reverts, fmt.Sprintf("%s went from revision %d to %d", name, w.seen[name], v))
	}
	w.seen[name] = max(w.seen[name], v)
}

// report stops polling and records each decrease as a violation.
func (w *revisionWatch) report(r *Report) {
	w.stop()
	w.done.Wait()
	r.metric("reverts", len(w.reverts))
	for _, v := range w.reverts {
		r.addViolation("%s", v)
	}
}

// entryOutsideCut returns an entry outside cutDataCentre, or nil if there is none.
func (x *loadRun) entryOutsideCut() *site.Entry {
	for _, y := range x.site.Entries {
		if y.DataCentre != cutDataCentre {
			return y
		}
	}
	return nil
}

// countBehind returns the number of entries that have an older revision in force. Entries that do not answer are not
// counted.
func (x *loadRun) countBehind(ctx context.Context, v uint64) int {
	n := 0
	for _, y := range x.site.Entries {
		s, err := y.Status(ctx)
		if err == nil && s.Revision < v {
			n++
		}
	}
	return n
}
