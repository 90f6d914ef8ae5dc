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
	batchInterval      = 40 * time.Millisecond
	settleDelay        = 200 * time.Millisecond
	unavailableBackoff = 300 * time.Millisecond
	batchTimeout       = 2 * time.Second
	maxBatchAttempts   = 8
)

// Claims takes request keys in the store, many with each write.
type Claims struct {
	client  *Client
	buckets [claim.BucketCount]bucket
	workers sync.WaitGroup
}

// bucket batches the operations of one range of keys; its lock is held for no I/O.
type bucket struct {
	claims *Claims
	key    string
	wake   chan struct{}

	lock      sync.Mutex
	pending   []pendingOperation
	hasWorker bool

	// The fields below belong to the worker.
	record           *schema.ClaimBucket
	revision         store.Revision
	slices           claim.Slices
	writtenAt        time.Time
	unavailableUntil time.Time
}

// pendingOperation is an operation with the place for its verdict, nil where nobody waits.
type pendingOperation struct {
	claim.Operation
	result chan result
}

type result struct {
	claim.Verdict
	err error
}

// NewClaims makes claims kept in the client's store.
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

// Decide works out the operations in the store; settling is left to the next write and not waited for.
// It fails with an UnavailableError, after which claims may have been taken.
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
			return nil, trace.Wrap(&store.UnavailableError{Call: "claim", Detail: "the deadline passed"})
		case a := <-p[i].result:
			if a.err != nil {
				return nil, a.err
			}
			v[i] = a.Verdict
		}
	}
	return v, nil
}

// Close waits until what is pending is written or given up.
func (c *Claims) Close() {
	c.workers.Wait()
}

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

// wakeWorker ends the wait for more before a batch that nobody waits for.
func (b *bucket) wakeWorker(p pendingOperation) {
	if p.result == nil {
		return
	}
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// runWorker writes batches until nothing is pending.
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

// hasWaiter says whether a request waits for one of the operations.
func hasWaiter(l []pendingOperation) bool {
	for _, p := range l {
		if p.result != nil {
			return true
		}
	}
	return false
}

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

// tryWrite writes, unless the store was away just now.
func (b *bucket) tryWrite(ctx context.Context, l []pendingOperation) ([]claim.Verdict, error) {
	if time.Now().Before(b.unavailableUntil) {
		return nil, trace.Wrap(&store.UnavailableError{Call: "claim", Detail: "it was away just now"})
	}
	v, err := b.write(ctx, l)
	if err != nil {
		b.unavailableUntil = time.Now().Add(unavailableBackoff)
	}
	return v, err
}

// write applies the operations by compare-and-swap on the record last seen, reading it again after a failure.
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

// load takes the record and the slices that are not at hand.
func (b *bucket) load(ctx context.Context) error {
	i, err := b.claims.client.Get(ctx, b.key)
	var absent *store.NotFoundError
	if err != nil && !errors.As(err, &absent) {
		return err
	}
	r := &schema.ClaimBucket{}
	if err := proto.Unmarshal(i.Value, r); err != nil {
		return trace.Wrap(err, "reading claims")
	}
	for _, id := range b.slices.Missing(r) {
		x, err := b.claims.client.Get(ctx, b.sliceKey(id))
		if err != nil {
			return err
		}
		s := &schema.ClaimSlice{}
		if err := proto.Unmarshal(x.Value, s); err != nil {
			return trace.Wrap(err, "reading claims")
		}
		b.slices[id] = claim.IndexSlice(s)
	}
	b.record = r
	b.revision = i.Revision
	return nil
}
