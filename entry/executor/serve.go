package executor

import (
	"context"
	"errors"
	"time"

	"github.com/tarragonbank/tarragonbank/entry/owner"
	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

// Serve carries out a call of the owner at a backend server. It returns nil for a call of another kind. The server checks
// the owner's fencing token and an order's expiry, so that a call that is carried out late does no harm, unless the server has
// restarted under its ID and has not been called by the owner since.
func Serve(ctx context.Context, s owner.Servers, c *schema.Call) *schema.Reply {
	switch {
	case c.GetOrder() != nil:
		return &schema.Reply{Body: &schema.Reply_Order{Order: serveOrder(ctx, s, c.GetOrder())}}
	case c.GetPoll() != nil:
		return &schema.Reply{Body: &schema.Reply_Poll{Poll: servePoll(ctx, s, c.GetPoll())}}
	default:
		return nil
	}
}

func serveOrder(ctx context.Context, s owner.Servers, m *schema.ServerOrder) *schema.OrderReply {
	v, err := decodeServer(m.Server, m.Address)
	if err != nil {
		return &schema.OrderReply{Failure: encodeFailure(err)}
	}
	k, err := job.ParseTask(m.Task)
	if err != nil {
		return &schema.OrderReply{Failure: encodeFailure(err)}
	}
	r := &schema.OrderReply{}
	switch m.Kind {
	case schema.ServerOrder_START:
		a, clock, err := s.Start(ctx, scheduler.StartOrder{
			Server: v, Task: k, Number: int(m.Number), Payload: m.Payload, Checkpoint: m.Checkpoint, Ticket: m.Ticket,
			Until: time.Duration(m.UntilMs) * time.Millisecond,
		}, m.Token)
		r.Answer, r.ClockMs, r.Failure = int32(a), clock.Milliseconds(), encodeFailure(err)
	case schema.ServerOrder_STOP:
		r.Failure = encodeFailure(s.Stop(ctx, scheduler.StopOrder{Server: v, Task: k, Number: int(m.Number)}, m.Token))
	case schema.ServerOrder_PACE:
		o := scheduler.PaceOrder{Server: v, Task: k, Number: int(m.Number), Percent: int(m.Percent)}
		r.Failure = encodeFailure(s.Pace(ctx, o, m.Token))
	default:
		r.Failure = &schema.CallFailure{Detail: "unknown kind of order"}
	}
	return r
}

func servePoll(ctx context.Context, s owner.Servers, m *schema.ServerPoll) *schema.PollReply {
	v, err := decodeServer(m.Server, m.Address)
	if err != nil {
		return &schema.PollReply{Failure: encodeFailure(err)}
	}
	l, err := s.Poll(ctx, scheduler.PollRequest{
		Server: v, LeaseUntil: time.Duration(m.LeaseUntilMs) * time.Millisecond, AcknowledgedEnd: m.AcknowledgedEnd,
	}, m.Token, time.Duration(m.WaitMs)*time.Millisecond)
	if err != nil {
		return &schema.PollReply{Failure: encodeFailure(err)}
	}
	return encodeListing(l)
}

// encodeFailure returns nil if there is no error.
func encodeFailure(err error) *schema.CallFailure {
	if err == nil {
		return nil
	}
	var fenced *owner.FencedError
	return &schema.CallFailure{Fenced: errors.As(err, &fenced), Detail: err.Error()}
}
