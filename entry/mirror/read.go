package mirror

import (
	"context"
	"time"

	"github.com/tarragonbank/tarragonbank/fleet/store"
)

const (
	// promptReadTime bounds the time to read a page, beside a slow read if there is one.
	promptReadTime = time.Second
	// slowReadTime bounds the same in a slow read: a page of 1 MB takes seconds on a slow link.
	slowReadTime = 8 * time.Second
)

// reading is a read of all items that is under way.
type reading struct {
	result chan readResult
	cancel context.CancelFunc
}

// readResult is the outcome of a read of all items.
type readResult struct {
	// sentAt is the time since boot before the first page was asked for.
	sentAt time.Duration
	items  []store.Item
	// revision is that of the first page, so that the watch repeats changes made while later pages were read.
	revision store.Revision
	err      error
}

// readAll passes all items to the sink and returns the revision to continue from and when the read was sent. Once a page has not
// been read in promptReadTime, a slow read goes on beside the following calls of readAll until one of them succeeds. A slow read
// alone would not do: if it was sent into an outage, it may never be answered.
func (m *Mirror) readAll(ctx context.Context) (store.Revision, time.Duration, error) {
	began := time.Now()
	x := m.startRead(ctx, promptReadTime)
	defer x.cancel()
	for {
		select {
		case r := <-x.result:
			if r.err != nil && m.slowRead.result == nil && time.Since(began) >= promptReadTime {
				m.slowRead = m.startRead(ctx, slowReadTime)
			}
			return m.finishRead(r)
		case r := <-m.slowRead.result:
			m.abandonSlowRead()
			if r.err == nil {
				return m.finishRead(r)
			}
		}
	}
}

// finishRead passes the items of a read that succeeded to the sink.
func (m *Mirror) finishRead(r readResult) (store.Revision, time.Duration, error) {
	if r.err != nil {
		return 0, 0, r.err
	}
	m.abandonSlowRead()
	m.sink.Reset(r.items)
	return r.revision, r.sentAt, nil
}

// abandonSlowRead cancels the read that an earlier readAll has left, if there is one.
func (m *Mirror) abandonSlowRead() {
	if m.slowRead.cancel != nil {
		m.slowRead.cancel()
	}
	m.slowRead = reading{}
}

// startRead reads all items in the background, each page within the timeout.
func (m *Mirror) startRead(ctx context.Context, timeout time.Duration) reading {
	ctx, stop := context.WithCancel(ctx)
	x := reading{result: make(chan readResult, 1), cancel: stop}
	go func() { x.result <- m.readPages(ctx, timeout) }()
	return x
}

func (m *Mirror) readPages(ctx context.Context, timeout time.Duration) readResult {
	r := readResult{sentAt: m.clock()}
	for after := ""; ; {
		p, err := m.readPage(ctx, after, timeout)
		if err != nil {
			return readResult{err: err}
		}
		if r.revision == 0 {
			r.revision = p.Revision
		}
		r.items = append(r.items, p.Items...)
		if !p.HasMore || len(p.Items) == 0 {
			return r
		}
		after = p.Items[len(p.Items)-1].Key
	}
}

func (m *Mirror) readPage(ctx context.Context, after string, timeout time.Duration) (store.Page, error) {
	c, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	return m.store.Range(c, m.prefix, after)
}
