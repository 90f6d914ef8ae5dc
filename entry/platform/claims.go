package platform

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/tarragonbank/tarragonbank/fleet/claim"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/store"
)

const (
	// batchInterval is the shortest time between two writes of a bucket.
	batchInterval = 40 * time.Millisecond
	// settleDelay is how long a batch of outcomes alone waits for further operations.
	settleDelay = 200 * time.Millisecond
	// unavailableBackoff is how long a bucket fails its operations at once after the store failed.
	unavailableBackoff = 300 * time.Millisecond
	batchTimeout       = 2 * time.Second
	maxBatchAttempts   = 8
)

// Claims claims idempotency keys in the store. It batches the operations on each bucket of keys, so that one write serves many.
type Claims struct {
	client  *Client
	buckets [claim.BucketCount]bucket
	workers sync.WaitGroup
}

// bucket batches the operations on one bucket of keys. No I/O happens under its lock.
type bucket struct {
	claims *Claims
	key    string
	wake   chan struct{}

	lock      sync.Mutex
	pending   []pendingOperation
	hasWorker bool

	// The fields below are accessed by the worker only.
	record           *schema.ClaimBucket
	revision         store.Revision
	slices           claim.Slices
	writtenAt        time.Time
	unavailableUntil time.Time
}

// pendingOperation is an operation with the channel for its result, which is nil if no caller waits for it.
type pendingOperation struct {
	claim.Operation
	result chan result
}

// result is the verdict on an operation, or the error of its batch.
type result struct {
	claim.Verdict
	err error
}

// NewClaims returns Claims in the client's store.
func NewClaims(c *Client) *Claims {
	x := &Claims{client: c}
	for i := range x.buckets {
		x.buckets[i].claims = x
		x.buckets[i].key = fmt.Sprintf("claims/%d", i)
		x.buckets[i].wake = make(chan struct{}, 1)
		x.buckets[i].slices = claim.Slices{}
	}
	return x
}

// Decide applies the operations in the store and returns their verdicts. It doesn't wait for operations that record an
// outcome: they count as granted and go with a later write. It fails with an UnavailableError, after which keys may have
// been claimed.
func (c *Claims) Decide(ctx context.Context, l []claim.Operation) ([]claim.Verdict, error) {
	p := make([]pendingOperation, len(l))
	for i, o := range l {
		p[i].Operation = o
		if !o.Settle {
			p[i].result = make(chan result, 1)
		}
		c.add(p[i])
	}
	v := make([]claim.Verdict, len(l))
	for i := range p {
		if p[i].result == nil {
			v[i] = claim.Verdict{Granted: true}
			continue
		}
		select {
		case <-ctx.Done():
			return nil, trace.Wrap(&store.UnavailableError{Call: "claim", Detail: "deadline exceeded"})
		case a := <-p[i].result:
			if a.err != nil {
				return nil, a.err
			}
			v[i] = a.Verdict
		}
	}
	return v, nil
}

// Close waits until all pending operations are written or have failed.
func (c *Claims) Close() {
	c.workers.Wait()
}

// add queues an operation in its bucket and starts the bucket's worker if it isn't running.
func (c *Claims) add(p pendingOperation) {
	b := &c.buckets[p.Key.Bucket()]
	b.lock.Lock()
	defer b.lock.Unlock()
	b.pending = append(b.pending, p)
	if b.hasWorker {
		b.wakeWorker(p)
		return
	}
	b.hasWorker = true
	c.workers.Add(1)
	go b.runWorker()
}

// wakeWorker ends the worker's settleDelay if a caller waits for the operation. The bucket's lock must be held.
func (b *bucket) wakeWorker(p pendingOperation) {
	if p.result == nil {
		return
	}
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// runWorker writes batches until no operation is pending.
func (b *bucket) runWorker() {
	defer b.claims.workers.Done()
	for {
		time.Sleep(time.Until(b.writtenAt.Add(batchInterval)))
		b.lock.Lock()
		l := b.pending
		b.pending = nil
		if len(l) == 0 {
			b.hasWorker = false
			b.lock.Unlock()
			return
		}
		b.lock.Unlock()
		if !hasWaiter(l) {
			b.waitForBatch()
			l = append(l, b.takePending()...)
		}
		b.processBatch(l)
	}
}

// waitForBatch waits up to settleDelay, or until an operation arrives that a caller waits for.
func (b *bucket) waitForBatch() {
	select {
	case <-b.wake:
	case <-time.After(settleDelay):
	}
}

func (b *bucket) takePending() []pendingOperation {
	b.lock.Lock()
	defer b.lock.Unlock()
	l := b.pending
	b.pending = nil
	return l
}

// hasWaiter reports whether a caller waits for one of the operations.
func hasWaiter(l []pendingOperation) bool {
	for _, p := range l {
		if p.result != nil {
			return true
		}
	}
	return false
}

// processBatch writes a batch and sends the results to the callers that wait for them.
func (b *bucket) processBatch(l []pendingOperation) {
	ctx, cancel := context.WithTimeout(context.Background(), batchTimeout)
	defer cancel()
	v, err := b.tryWrite(ctx, l)
	b.writtenAt = time.Now()
	for i, p := range l {
		if p.result == nil {
			continue
		}
		a := result{err: err}
		if err == nil {
			a.Verdict = v[i]
		}
		p.result <- a
	}
}

// tryWrite writes a batch, or fails at once within unavailableBackoff after a failed write, so that requests don't queue up
// while the store is unavailable.
func (b *bucket) tryWrite(ctx context.Context, l []pendingOperation) ([]claim.Verdict, error) {
	if time.Now().Before(b.unavailableUntil) {
		return nil, trace.Wrap(&store.UnavailableError{Call: "claim", Detail: "backing off after a failed write"})
	}
	v, err := b.write(ctx, l)
	if err != nil {
		b.unavailableUntil = time.Now().Add(unavailableBackoff)
	}
	return v, err
}

// write applies the operations by compare-and-swap on the cached record. After a failure it reads the record again, because
// the failed write may have taken effect.
func (b *bucket) write(ctx context.Context, l []pendingOperation) ([]claim.Verdict, error) {
	ops := make([]claim.Operation, len(l))
	for i, p := range l {
		ops[i] = p.Operation
	}
	var err error
	for range maxBatchAttempts {
		if b.record == nil {
			if err = b.load(ctx); err != nil {
				return nil, err
			}
		}
		now := time.Now()
		next, v, changed := claim.Apply(now, b.record, b.slices, ops)
		if !changed {
			return v, nil
		}
		if err = b.swap(ctx, now, next); err == nil {
			return v, nil
		}
		b.record = nil
		if ctx.Err() != nil {
			break
		}
	}
	return nil, err
}

// swap writes the record under a new mark. If the record is full, it first writes the slice that takes its claims.
func (b *bucket) swap(ctx context.Context, now time.Time, next *schema.ClaimBucket) error {
	next.Mark = strconv.FormatUint(rand.Uint64(), 36)
	slice, dropped := claim.Rotate(now, next, next.Mark)
	if slice != nil {
		x, err := proto.Marshal(slice)
		if err != nil {
			return trace.Wrap(err, "encoding claims")
		}
		if _, err := b.claims.client.Swap(ctx, b.sliceKey(next.Mark), 0, x); err != nil {
			return err
		}
		b.slices[next.Mark] = claim.IndexSlice(slice)
	}
	x, err := proto.Marshal(next)
	if err != nil {
		return trace.Wrap(err, "encoding claims")
	}
	r, err := b.claims.client.Swap(ctx, b.key, b.revision, x)
	if err != nil {
		return err
	}
	b.record = next
	b.revision = r
	b.deleteSlices(ctx, dropped)
	return nil
}

// deleteSlices deletes expired slices from the cache and the store. It ignores errors.
func (b *bucket) deleteSlices(ctx context.Context, dropped []string) {
	for _, id := range dropped {
		delete(b.slices, id)
		i, err := b.claims.client.Get(ctx, b.sliceKey(id))
		if err == nil {
			_ = b.claims.client.Delete(ctx, i.Key, i.Revision)
		}
	}
}

func (b *bucket) sliceKey(id string) string {
	return b.key + "/" + id
}

// load reads the record, and the slices that it references and the cache lacks.
func (b *bucket) load(ctx context.Context) error {
	i, err := b.claims.client.Get(ctx, b.key)
	var absent *store.NotFoundError
	if err != nil && !errors.As(err, &absent) {
		return err
	}
	r := &schema.ClaimBucket{}
	if err := proto.Unmarshal(i.Value, r); err != nil {
		return trace.Wrap(err, "decoding claims")
	}
	for _, id := range b.slices.Missing(r) {
		x, err := b.claims.client.Get(ctx, b.sliceKey(id))
		if err != nil {
			return err
		}
		s := &schema.ClaimSlice{}
		if err := proto.Unmarshal(x.Value, s); err != nil {
			return trace.Wrap(err, "decoding claims")
		}
		b.slices[id] = claim.IndexSlice(s)
	}
	b.record = r
	b.revision = i.Revision
	return nil
}
