package channel

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tarragonbank/tarragonbank/entry/peer"
	"github.com/tarragonbank/tarragonbank/entry/processor"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

const (
	// batchDelay is how long the writer waits for further messages, which then share the frame.
	batchDelay = 2 * time.Millisecond
	// maxBatchBytes is the size from which a frame takes no further messages. With the largest message it stays below
	// peer.MaxFrameBytes.
	maxBatchBytes = 1 << 20
	// maxQueued is the number of messages that wait to be written. More mean that the other side does not read.
	maxQueued = 4096
	// writeTimeout bounds the writing of a frame.
	writeTimeout = time.Second
	// maxConcurrentCalls bounds the calls of the other side that are answered at the same time.
	maxConcurrentCalls = 4096
)

// Handler answers a call of the other side, or returns nil if there is no reply. The context ends when the caller stops
// waiting or the channel closes.
type Handler func(ctx context.Context, c *schema.Call) *schema.Reply

// Channel is one side of a stream.
type Channel struct {
	stream      net.Conn
	handler     Handler
	onPanic     func(x any)
	readTimeout time.Duration
	ctx         context.Context
	stop        context.CancelFunc
	wakeup      chan struct{}
	active      atomic.Int64
	account     *processor.Account

	// lock guards the fields below and is not held during I/O.
	lock    sync.Mutex
	nextID  uint64
	waiting map[uint64]chan *schema.Reply
	calls   []*schema.Call
	replies []*schema.Reply
}

// ClosedError reports a call on a channel that has closed.
type ClosedError struct{}

// Error implements error.
func (*ClosedError) Error() string {
	return "the channel to the other entry has closed"
}

// CongestedError reports a call that was not sent because too many messages wait.
type CongestedError struct{}

// Error implements error.
func (*CongestedError) Error() string {
	return "too many messages wait for the other entry"
}

// Option configures a new Channel.
type Option func(c *Channel)

// WithOnPanic reports the panics of the handler to f.
func WithOnPanic(f func(x any)) Option {
	return func(c *Channel) { c.onPanic = f }
}

// WithAccount counts the time that the coding of frames takes.
func WithAccount(a *processor.Account) Option {
	return func(c *Channel) { c.account = a }
}

// New starts the channel over a stream. It closes when the stream fails, the context ends, or nothing arrives for
// readTimeout.
func New(ctx context.Context, stream net.Conn, readTimeout time.Duration, h Handler, l ...Option) *Channel {
	c := &Channel{
		stream: stream, handler: h, readTimeout: readTimeout, wakeup: make(chan struct{}, 1), waiting: map[uint64]chan *schema.Reply{},
		onPanic: func(any) {},
	}
	for _, o := range l {
		o(c)
	}
	c.ctx, c.stop = context.WithCancel(ctx)
	go c.read()
	go c.write()
	go func() {
		<-c.ctx.Done()
		stream.Close()
	}()
	return c
}

// Close closes the channel. Calls that wait for a reply fail.
func (c *Channel) Close() {
	c.stop()
}

// Done is closed once the channel has closed.
func (c *Channel) Done() <-chan struct{} {
	return c.ctx.Done()
}

// Call sends a call and waits for its reply. The boolean reports whether the other side may have received the call.
func (c *Channel) Call(ctx context.Context, m *schema.Call) (*schema.Reply, bool, error) {
	if d, ok := ctx.Deadline(); ok {
		m.TimeoutMs = max(time.Until(d).Milliseconds(), 1)
	}
	answer := make(chan *schema.Reply, 1)
	if err := c.enqueueCall(m, answer); err != nil {
		return nil, false, err
	}
	select {
	case r := <-answer:
		return r, true, nil
	case <-ctx.Done():
		return nil, !c.withdraw(m), ctx.Err()
	case <-c.ctx.Done():
		return nil, !c.withdraw(m), &ClosedError{}
	}
}

func (c *Channel) enqueueCall(m *schema.Call, answer chan *schema.Reply) error {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.ctx.Err() != nil {
		return &ClosedError{}
	}
	if len(c.calls) >= maxQueued {
		return &CongestedError{}
	}
	c.nextID++
	m.Id = c.nextID
	c.waiting[m.Id] = answer
	c.calls = append(c.calls, m)
	c.wake()
	return nil
}

// withdraw forgets a call and reports whether it was still unsent.
func (c *Channel) withdraw(m *schema.Call) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	delete(c.waiting, m.Id)
	for i, x := range c.calls {
		if x == m {
			c.calls = append(c.calls[:i], c.calls[i+1:]...)
			return true
		}
	}
	return false
}

func (c *Channel) wake() {
	select {
	case c.wakeup <- struct{}{}:
	default:
	}
}

// write sends the queued messages until the channel closes.
func (c *Channel) write() {
	defer c.stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-c.wakeup:
		}
		t := time.NewTimer(batchDelay)
		select {
		case <-c.ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
		for b := c.nextBatch(); b != nil; b = c.nextBatch() {
			if !c.writeBatch(b) {
				return
			}
		}
	}
}

// writeBatch writes a frame and reports whether that succeeded.
func (c *Channel) writeBatch(m *schema.CallBatch) bool {
	began := time.Now()
	b, err := peer.EncodeFrame(&schema.Envelope{Body: &schema.Envelope_CallBatch{CallBatch: m}})
	c.account.Since(processor.Frame, began)
	if err != nil {
		return false
	}
	_ = c.stream.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err = c.stream.Write(b)
	return err == nil
}

// readBatch reads a frame.
func (c *Channel) readBatch() (*schema.CallBatch, error) {
	_ = c.stream.SetReadDeadline(time.Now().Add(c.readTimeout))
	b, err := peer.ReadEncoded(c.stream)
	if err != nil {
		return nil, err
	}
	defer c.account.Since(processor.Frame, time.Now())
	m, err := peer.DecodeFrame(b)
	return m.GetCallBatch(), err
}

// nextBatch returns the messages of the next frame, replies first, or nil if none wait.
func (c *Channel) nextBatch() *schema.CallBatch {
	c.lock.Lock()
	defer c.lock.Unlock()
	if len(c.calls) == 0 && len(c.replies) == 0 {
		return nil
	}
	size := 0
	b := &schema.CallBatch{}
	b.Replies, c.replies = takeUpTo(c.replies, &size)
	b.Calls, c.calls = takeUpTo(c.calls, &size)
	return b
}

// takeUpTo splits the messages into those that fit into the frame and the rest.
func takeUpTo[T proto.Message](l []T, size *int) (taken, left []T) {
	n := 0
	for n < len(l) && *size < maxBatchBytes {
		*size += proto.Size(l[n])
		n++
	}
	if n == len(l) {
		return l, nil
	}
	return l[:n:n], l[n:]
}

// read handles the frames of the other side until the stream fails.
func (c *Channel) read() {
	defer c.stop()
	for {
		b, err := c.readBatch()
		if err != nil || c.ctx.Err() != nil {
			return
		}
		for _, r := range b.GetReplies() {
			c.deliver(r)
		}
		for _, m := range b.GetCalls() {
			if c.active.Load() >= maxConcurrentCalls {
				continue
			}
			c.active.Add(1)
			go c.answer(m)
		}
	}
}

func (c *Channel) deliver(r *schema.Reply) {
	c.lock.Lock()
	answer := c.waiting[r.Id]
	delete(c.waiting, r.Id)
	c.lock.Unlock()
	if answer != nil {
		answer <- r
	}
}

// answer answers a call of the other side. A handler that panics leaves its call without a reply.
func (c *Channel) answer(m *schema.Call) {
	defer c.active.Add(-1)
	defer func() {
		if x := recover(); x != nil {
			c.onPanic(x)
		}
	}()
	ctx := c.ctx
	if m.TimeoutMs > 0 {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, time.Duration(m.TimeoutMs)*time.Millisecond)
		defer stop()
	}
	r := c.handler(ctx, m)
	if r == nil {
		return
	}
	r.Id = m.Id
	c.lock.Lock()
	defer c.lock.Unlock()
	if len(c.replies) < maxQueued {
		c.replies = append(c.replies, r)
		c.wake()
	}
}
