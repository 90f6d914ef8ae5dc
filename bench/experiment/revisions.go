package experiment

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/tarragonbank/tarragonbank/bench/site"
)

const revisionPoll = 20 * time.Millisecond

// revisions watches the revision that each entry has in force.
type revisions struct {
	stop    context.CancelFunc
	done    sync.WaitGroup
	lock    sync.Mutex
	reverts []string
	seen    map[string]uint64
}

// watchRevisions asks the entries again and again; an entry that starts anew starts from nothing.
func watchRevisions(ctx context.Context, s *site.Site) *revisions {
	ctx, stop := context.WithCancel(ctx)
	w := &revisions{stop: stop, seen: map[string]uint64{}}
	for _, y := range s.Entries {
		w.done.Add(1)
		go func() {
			defer w.done.Done()
			for ctx.Err() == nil {
				run := y.StartCount()
				v, err := y.Status(ctx)
				if err == nil && run == y.StartCount() {
					w.note(fmt.Sprintf("%s/%d", y.Name, run), v.Revision)
				}
				pause(ctx, revisionPoll)
			}
		}()
	}
	return w
}

func (w *revisions) note(name string, v uint64) {
	w.lock.Lock()
	defer w.lock.Unlock()
	if v < w.seen[name] {
		w.reverts = append(w.reverts, fmt.Sprintf("%s went from revision %d to %d", name, w.seen[name], v))
	}
	w.seen[name] = max(w.seen[name], v)
}

// report ends the watch and records the steps back.
func (w *revisions) report(r *Report) {
	w.stop()
	w.done.Wait()
	r.figure("reverts", len(w.reverts))
	for _, v := range w.reverts {
		r.violate("%s", v)
	}
}

// outside is an entry outside the data centre that is cut off.
func (x *running) outside() *site.Entry {
	for _, y := range x.site.Entries {
		if y.DataCentre != cutDataCentre {
			return y
		}
	}
	return nil
}

// behind counts the entries below the revision.
func (x *running) behind(ctx context.Context, v uint64) int {
	n := 0
	for _, y := range x.site.Entries {
		s, err := y.Status(ctx)
		if err == nil && s.Revision < v {
			n++
		}
	}
	return n
}
