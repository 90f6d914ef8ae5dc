package decision_test

import (
	"bytes"
	"encoding/json"
	"io"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/tarragonbank/tarragonbank/entry/decision"
	"github.com/tarragonbank/tarragonbank/fleet/suite"
)

func TestDecision(t *testing.T) {
	suite.Run(t, "decision")
}

var recordTime = time.Unix(1_800_000_000, 0).UTC()

// blockedWriter blocks writes until release is closed.
type blockedWriter struct {
	release chan struct{}
}

func (s blockedWriter) Write(b []byte) (int, error) {
	<-s.release
	return len(b), nil
}

var _ = ginkgo.Describe("a log", func() {
	ginkgo.It("writes a line for each decision", func() {
		var b bytes.Buffer
		l := decision.New(&b, logrus.InfoLevel)
		l.Add(decision.Record{Time: recordTime, Kind: decision.Route, Request: "r1", Service: "cups", Pool: "cups", VM: "cups-01", Reason: "least loaded of two", Attempt: 1})
		l.Close()
		var line map[string]any
		gomega.Expect(json.Unmarshal(b.Bytes(), &line)).To(gomega.Succeed())
		gomega.Expect(line).To(gomega.Equal(map[string]any{
			"time": "2027-01-15T08:00:00Z", "level": "info", "msg": "decision", "kind": "route", "request": "r1",
			"service": "cups", "pool": "cups", "vm": "cups-01", "reason": "least loaded of two", "attempt": 1.0,
		}))
	})

	// A decision that was logged while the process left ended it with a panic.
	ginkgo.It("takes records until the process has ended, and writes those that were added before it was closed", func() {
		var b bytes.Buffer
		l := decision.New(&b, logrus.InfoLevel)
		for range 1000 {
			l.Add(decision.Record{Time: recordTime, Reason: "before"})
		}
		stop, stopped := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(stopped)
			for {
				select {
				case <-stop:
					return
				default:
					l.Add(decision.Record{Time: recordTime, Reason: "beside"})
				}
			}
		}()
		l.Close()
		l.Add(decision.Record{Time: recordTime, Reason: "after"})
		close(stop)
		<-stopped
		gomega.Expect(strings.Count(b.String(), "before")).To(gomega.Equal(1000))
	})

	// Quoted requests of callers filled the queue with hundreds of kilobytes each.
	ginkgo.It("cuts long texts", func() {
		var b bytes.Buffer
		l := decision.New(&b, logrus.InfoLevel)
		l.Add(decision.Record{Time: recordTime, Request: strings.Repeat("r", 5000), Reason: strings.Repeat("\u00e4", 5000)})
		l.Close()
		var line struct{ Request, Reason string }
		gomega.Expect(json.Unmarshal(b.Bytes(), &line)).To(gomega.Succeed())
		gomega.Expect(line.Request).To(gomega.Equal(strings.Repeat("r", 1024) + "..."))
		gomega.Expect(line.Reason).To(gomega.Equal(strings.Repeat("\u00e4", 512) + "..."))
	})

	ginkgo.It("does not block when the writer blocks, and counts the dropped records", func() {
		s := blockedWriter{release: make(chan struct{})}
		l := decision.New(s, logrus.InfoLevel)
		for range 20000 {
			l.Add(decision.Record{Time: recordTime, Reason: strings.Repeat("x", 100)})
		}
		dropped := l.Dropped()
		close(s.release)
		l.Close()
		gomega.Expect([]bool{dropped > 0, l.Dropped()+l.Written() == 20000}).To(gomega.Equal([]bool{true, true}))
	})

	ginkgo.It("returns the most recent records in order", func() {
		l := decision.New(io.Discard, logrus.InfoLevel)
		for i := range 100 {
			l.Add(decision.Record{Time: recordTime, Attempt: i})
		}
		l.Close()
		r := l.Recent()
		gomega.Expect([]int{len(r), r[0].Attempt, r[len(r)-1].Attempt}).To(gomega.Equal([]int{64, 36, 99}))
	})
})

// BenchmarkWrite measures one log line. The owner writes two for each task, some 3,000 a second at the peak of a turn.
func BenchmarkWrite(b *testing.B) {
	l := decision.New(io.Discard, logrus.InfoLevel)
	r := decision.Record{
		Time: time.Now(), Kind: decision.Task, Request: "7777482451dd9806", Task: "7777482451dd9806.0.2.20", VM: "i-22e55a1973", Pool: "cups",
		Run: 1, Reason: "start ordered", Age: time.Millisecond, Revision: 3,
	}
	n := uint64(0)
	for b.Loop() {
		l.Add(r)
		if n++; n%4096 == 0 {
			for l.Written() < n {
				runtime.Gosched()
			}
		}
	}
	l.Close()
}
