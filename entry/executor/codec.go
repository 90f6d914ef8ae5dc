package executor

import (
	"net/netip"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/server"
)

func encodeStart(o scheduler.StartOrder, token uint64) *schema.ServerOrder {
	return &schema.ServerOrder{
		Kind: schema.ServerOrder_START, Server: o.Server.ID, Address: o.Server.Address.String(), Token: token, Task: o.Task.String(),
		Number: int32(o.Number), Payload: o.Payload, Checkpoint: o.Checkpoint, Ticket: o.Ticket, UntilMs: o.Until.Milliseconds(),
	}
}

func encodeStop(o scheduler.StopOrder, token uint64) *schema.ServerOrder {
	return &schema.ServerOrder{
		Kind: schema.ServerOrder_STOP, Server: o.Server.ID, Address: o.Server.Address.String(), Token: token, Task: o.Task.String(),
		Number: int32(o.Number),
	}
}

func encodePace(o scheduler.PaceOrder, token uint64) *schema.ServerOrder {
	return &schema.ServerOrder{
		Kind: schema.ServerOrder_PACE, Server: o.Server.ID, Address: o.Server.Address.String(), Token: token, Task: o.Task.String(),
		Number: int32(o.Number), Percent: int32(o.Percent),
	}
}

func encodePoll(h scheduler.PollRequest, token uint64, wait time.Duration) *schema.ServerPoll {
	return &schema.ServerPoll{
		Server: h.Server.ID, Address: h.Server.Address.String(), Token: token, LeaseUntilMs: h.LeaseUntil.Milliseconds(),
		AcknowledgedEnd: h.AcknowledgedEnd, WaitMs: wait.Milliseconds(),
	}
}

// decodeServer returns what a client of backend servers needs to know of a server.
func decodeServer(id, address string) (server.Server, error) {
	a, err := netip.ParseAddrPort(address)
	return server.Server{ID: id, Address: a}, err
}

func encodeListing(l server.Listing) *schema.PollReply {
	m := &schema.PollReply{ClockMs: l.Clock.Milliseconds(), HasMore: l.HasMore}
	if !l.StartedAt.IsZero() {
		m.BornMs = l.StartedAt.UnixMilli()
	}
	for _, r := range l.Runs {
		m.Runs = append(m.Runs, &schema.ListedRun{
			Task: r.Task.String(), Number: int32(r.Number), Checkpoint: r.Checkpoint, Percent: int32(r.Percent), Metric: r.Metric,
		})
	}
	for _, e := range l.Ends {
		m.Ends = append(m.Ends, &schema.ListedEnd{
			Sequence: e.Sequence, Task: e.Task.String(), Number: int32(e.Number), Reason: int32(e.Reason), Checkpoint: e.Checkpoint,
		})
	}
	return m
}

func decodeListing(m *schema.PollReply) (server.Listing, error) {
	l := server.Listing{Clock: time.Duration(m.GetClockMs()) * time.Millisecond, HasMore: m.GetHasMore()}
	if m.GetBornMs() != 0 {
		l.StartedAt = time.UnixMilli(m.GetBornMs())
	}
	for _, r := range m.GetRuns() {
		k, err := job.ParseTask(r.Task)
		if err != nil {
			return l, err
		}
		l.Runs = append(l.Runs, server.Run{Task: k, Number: int(r.Number), Checkpoint: r.Checkpoint, Percent: int(r.Percent), Metric: r.Metric})
	}
	for _, e := range m.GetEnds() {
		k, err := job.ParseTask(e.Task)
		if err != nil {
			return l, err
		}
		l.Ends = append(l.Ends, server.EndedRun{
			Sequence: e.Sequence, Task: k, Number: int(e.Number), Reason: job.EndReason(e.Reason), Checkpoint: e.Checkpoint,
		})
	}
	return l, nil
}
