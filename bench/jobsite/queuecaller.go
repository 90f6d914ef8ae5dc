package jobsite

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/queue"
	"github.com/tarragonbank/tarragonbank/platform/simulator"
)

const (
	// queueProbeInterval is the time between requests by ProbeQueues.
	queueProbeInterval = 40 * time.Millisecond
	// queueProbeTimeout is longer than the usual pause of an entry, so that answers after it are seen.
	queueProbeTimeout = 7 * time.Second
	// droppedQueues is the number of seasonal queues that ProbeQueues asks for beside those of the newest configuration.
	droppedQueues = 2
)

// ProbeQueues asks random entries, ready or not, for seasonal queues until the context ends: those of the newest configuration,
// those dropped last, and one that never existed. The checker judges the answers.
func (c *Callers) ProbeQueues(ctx context.Context) {
	var work sync.WaitGroup
	defer work.Wait()
	t := time.NewTicker(queueProbeInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		e, q := c.site.Entries[c.drawProbe(len(c.site.Entries))], c.drawSeasonalQueue()
		work.Add(1)
		go func() {
			defer work.Done()
			c.RequestQueue(ctx, e, q)
		}()
	}
}

func (c *Callers) drawProbe(n int) int {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.probeRandom.IntN(n)
}

func (c *Callers) drawSeasonalQueue() *queue.Queue {
	v, back := c.site.table().Version, uint64(c.drawProbe(seasonalVersions+droppedQueues+1))
	q := seasonalQueue(0)
	if back < v && back < seasonalVersions+droppedQueues {
		q = seasonalQueue(v - back)
	}
	return &q
}

// RequestQueue asks an entry for the number of pending jobs of a queue that needs no key, passes the answer to the checker and
// returns its status, 0 without a complete answer.
func (c *Callers) RequestQueue(ctx context.Context, e *Entry, q *queue.Queue) int {
	ctx, stop := context.WithTimeout(ctx, queueProbeTimeout)
	defer stop()
	r, err := simulator.CallerRequest{Entry: e.Spec.CallerAddress, Queue: q}.Query(ctx, http.MethodGet)
	if err != nil {
		return 0
	}
	x := simulator.QueueRequest{Entry: e.Name, Incarnation: e.StartCount(), Queue: q, SentAt: time.Now()}
	a, err := c.client.Do(r)
	if err != nil {
		return 0
	}
	defer a.Body.Close()
	if _, err := io.Copy(io.Discard, a.Body); err != nil {
		return 0
	}
	x.Status, x.AnsweredAt = a.StatusCode, time.Now()
	if x.Incarnation == e.StartCount() {
		c.site.Platform.Checker.RecordQueueRequest(x)
	}
	return a.StatusCode
}
