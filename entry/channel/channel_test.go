package channel_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/entry/channel"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

// countedConn counts the writes on a connection and can hold them back.
type countedConn struct {
	net.Conn
	writes  atomic.Int64
	stalled chan struct{}
}

func (c *countedConn) Write(b []byte) (int, error) {
	c.writes.Add(1)
	if c.stalled != nil {
		<-c.stalled
	}
	return c.Conn.Write(b)
}

const readTimeout = time.Second

// pair connects two channels whose handlers echo the task of an order after a delay.
func pair(ctx context.Context, delay time.Duration) (a, b *channel.Channel, conn *countedConn) {
	x, y := net.Pipe()
	conn = &countedConn{Conn: x}
	echo := func(c context.Context, m *schema.Call) *schema.Reply {
		select {
		case <-c.Done():
			return nil
		case <-time.After(delay):
		}
		return &schema.Reply{Body: &schema.Reply_Order{Order: &schema.OrderReply{Failure: &schema.CallFailure{Detail: m.GetOrder().Task}}}}
	}
	return channel.New(ctx, conn, readTimeout, echo), channel.New(ctx, y, readTimeout, echo), conn
}

func order(name string) *schema.Call {
	return &schema.Call{Body: &schema.Call_Order{Order: &schema.ServerOrder{Task: name}}}
}

func runTest(t *testing.T, f func(ctx context.Context, g *gomega.WithT)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		f(ctx, gomega.NewWithT(t))
		stop()
		synctest.Wait()
	})
}

func TestEachCallHasItsOwnReplyInBothDirections(t *testing.T) {
	runTest(t, func(ctx context.Context, g *gomega.WithT) {
		a, b, conn := pair(ctx, 10*time.Millisecond)
		var w sync.WaitGroup
		for i := range 200 {
			for _, c := range []*channel.Channel{a, b} {
				w.Add(1)
				go func() {
					defer w.Done()
					r, sent, err := c.Call(ctx, order(fmt.Sprint(i)))
					g.Expect(err).NotTo(gomega.HaveOccurred())
					g.Expect(sent).To(gomega.BeTrue())
					g.Expect(r.GetOrder().Failure.Detail).To(gomega.Equal(fmt.Sprint(i)))
				}()
			}
		}
		w.Wait()
		g.Expect(conn.writes.Load()).To(gomega.BeNumerically("<", 10), "400 messages of one side share few frames")
	})
}

func TestCallEndsWithItsContext(t *testing.T) {
	runTest(t, func(ctx context.Context, g *gomega.WithT) {
		a, _, _ := pair(ctx, time.Minute)
		c, stop := context.WithTimeout(ctx, 300*time.Millisecond)
		defer stop()
		_, sent, err := a.Call(c, order("x"))
		g.Expect(err).To(gomega.MatchError(context.DeadlineExceeded))
		g.Expect(sent).To(gomega.BeTrue(), "the other side may have carried it out")
	})
}

// Without a read timeout, a connection that has gone silent for good would take calls for ever.
func TestSilentChannelCloses(t *testing.T) {
	runTest(t, func(ctx context.Context, g *gomega.WithT) {
		a, b, _ := pair(ctx, time.Minute)
		began := time.Now()
		_, sent, err := a.Call(ctx, order("x"))
		g.Expect(err).To(gomega.BeAssignableToTypeOf(&channel.ClosedError{}))
		g.Expect(sent).To(gomega.BeTrue())
		g.Expect(time.Since(began)).To(gomega.BeNumerically("<=", readTimeout))
		<-b.Done()
		_, sent, err = a.Call(ctx, order("x"))
		g.Expect(err).To(gomega.HaveOccurred())
		g.Expect(sent).To(gomega.BeFalse(), "a call on a closed channel surely was not carried out")
	})
}

func TestCallBehindAStalledWriteIsNotSent(t *testing.T) {
	runTest(t, func(ctx context.Context, g *gomega.WithT) {
		a, _, conn := pair(ctx, 0)
		conn.stalled = make(chan struct{})
		c, stop := context.WithTimeout(ctx, 300*time.Millisecond)
		defer stop()
		go func() { _, _, _ = a.Call(c, order("first")) }()
		time.Sleep(100 * time.Millisecond)
		_, sent, err := a.Call(c, order("second"))
		g.Expect(err).To(gomega.HaveOccurred())
		g.Expect(sent).To(gomega.BeFalse())
		close(conn.stalled)
	})
}

// A handler that panics must refuse its one call and leave the process and the channel as they are.
func TestPanickingHandlerLosesOneCall(t *testing.T) {
	runTest(t, func(ctx context.Context, g *gomega.WithT) {
		x, y := net.Pipe()
		a := channel.New(ctx, x, readTimeout, nil)
		channel.New(ctx, y, readTimeout, func(_ context.Context, m *schema.Call) *schema.Reply {
			if m.GetOrder().Task == "malformed" {
				panic("malformed")
			}
			return &schema.Reply{}
		})
		c, stop := context.WithTimeout(ctx, 300*time.Millisecond)
		defer stop()
		_, _, err := a.Call(c, order("malformed"))
		g.Expect(err).To(gomega.HaveOccurred())
		_, _, err = a.Call(ctx, order("fine"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
	})
}
