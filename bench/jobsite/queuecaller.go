package jobsite

import (
	"context"
	"net/http"
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
	callEvery(ctx, queueProbeInterval, func() {
		c.RequestQueue(ctx, c.site.Entries[c.drawProbe(len(c.site.Entries))], c.drawSeasonalQueue())
	})
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
	x.Status, x.AnsweredAt = c.send(r), time.Now()
	if x.Status != 0 && x.Incarnation == e.StartCount() {
		c.site.Platform.Checker.RecordQueueRequest(x)
	}
	return x.Status
}
