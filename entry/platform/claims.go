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
	batchPause   = 40 * time.Millisecond
	settlePause  = 200 * time.Millisecond
	awayPause    = 300 * time.Millisecond
	claimTimeout = 2 * time.Second
	claimTries   = 8
)

// Claims takes request keys in the store, many with each write.
type Claims struct {
	client  *Client
	buckets [claim.BucketCount]bucket
	running sync.WaitGroup
}

// bucket batches the operations of one range of keys; its lock is held for no I/O.
type bucket struct {
	claims *Claims
	key    string
	wake   chan struct{}

	lock    sync.Mutex
	pending []pending
	working bool

	// The fields below belong to the worker.
	record  *schema.ClaimBucket
	version store.Revision
	slices  claim.Slices
	written time.Time
	away    time.Time
}

// pending is an operation with the place for its verdict, nil where nobody waits.
type pending struct {
	claim.Operation
	verdict chan answered
}

type answered struct {
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
	p := make([]pending, len(l))
	for i, o := range l {
		p[i].Operation = o
		if !o.Settle {
			p[i].verdict = make(chan answered, 1)
		}
		c.add(p[i])
	}
	v := make([]claim.Verdict, len(l))
	for i := range p {
		if p[i].verdict == nil {
			v[i] = claim.Verdict{Granted: true}
			continue
		}
		select {
		case <-ctx.Done():
			return nil, trace.Wrap(&store.UnavailableError{Call: "claim", Detail: "the deadline passed"})
		case a := <-p[i].verdict:
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
	c.running.Wait()
}

func (c *Claims) add(p pending) {
	b := &c.buckets[p.Key.Bucket()]
	b.lock.Lock()
	defer b.lock.Unlock()
	b.pending = append(b.pending, p)
	if b.working {
		b.rouse(p)
		return
	}
	b.working = true
	c.running.Add(1)
	go b.work()
}

// rouse ends the wait for more before a batch that nobody waits for.
func (b *bucket) rouse(p pending) {
	if p.verdict == nil {
		return
	}
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// work writes batches until nothing is pending.
func (b *bucket) work() {
	defer b.claims.running.Done()
	for {
		time.Sleep(time.Until(b.written.Add(batchPause)))
		b.lock.Lock()
		l := b.pending
		b.pending = nil
		if len(l) == 0 {
			b.working = false
			b.lock.Unlock()
			return
		}
		b.lock.Unlock()
		if !wanted(l) {
			b.linger()
			l = append(l, b.take()...)
		}
		b.decide(l)
	}
}

func (b *bucket) linger() {
	select {
	case <-b.wake:
	case <-time.After(settlePause):
	}
}

func (b *bucket) take() []pending {
	b.lock.Lock()
	defer b.lock.Unlock()
	l := b.pending
	b.pending = nil
	return l
}

// wanted says whether a request waits for one of the operations.
func wanted(l []pending) bool {
	for _, p := range l {
		if p.verdict != nil {
			return true
		}
	}
	return false
}

func (b *bucket) decide(l []pending) {
	ctx, stop := context.WithTimeout(context.Background(), claimTimeout)
	defer stop()
	v, err := b.attempt(ctx, l)
	b.written = time.Now()
	for i, p := range l {
		if p.verdict == nil {
			continue
		}
		a := answered{err: err}
		if err == nil {
			a.Verdict = v[i]
		}
		p.verdict <- a
	}
}

// attempt writes, unless the store was away just now.
func (b *bucket) attempt(ctx context.Context, l []pending) ([]claim.Verdict, error) {
	if time.Now().Before(b.away) {
		return nil, trace.Wrap(&store.UnavailableError{Call: "claim", Detail: "it was away just now"})
	}
	v, err := b.write(ctx, l)
	if err != nil {
		b.away = time.Now().Add(awayPause)
	}
	return v, err
}

// write applies the operations by compare-and-swap on the record last seen, reading it again after a failure.
func (b *bucket) write(ctx context.Context, l []pending) ([]claim.Verdict, error) {
	ops := make([]claim.Operation, len(l))
	for i, p := range l {
		ops[i] = p.Operation
	}
	var err error
	for range claimTries {
		if b.record == nil {
			if err = b.read(ctx); err != nil {
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
	r, err := b.claims.client.Swap(ctx, b.key, b.version, x)
	if err != nil {
		return err
	}
	b.record = next
	b.version = r
	b.forget(ctx, dropped)
	return nil
}

func (b *bucket) forget(ctx context.Context, dropped []string) {
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

// read takes the record and the slices that are not at hand.
func (b *bucket) read(ctx context.Context) error {
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
	b.version = i.Revision
	return nil
}
