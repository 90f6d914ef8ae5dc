package jobapi_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/tarragonbank/tarragonbank/entry/decision"
	"github.com/tarragonbank/tarragonbank/entry/jobapi"
	"github.com/tarragonbank/tarragonbank/entry/owner"
	"github.com/tarragonbank/tarragonbank/fleet/job"
	"github.com/tarragonbank/tarragonbank/fleet/queue"
	"github.com/tarragonbank/tarragonbank/fleet/scheduler"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/suite"
	"github.com/tarragonbank/tarragonbank/fleet/workspace"
)

func TestJobAPI(t *testing.T) {
	suite.Run(t, "jobapi")
}

// fakeRelay gives every call the same reply and keeps the last call.
type fakeRelay struct {
	reply scheduler.Reply
	call  *schema.JobCall
}

func (f *fakeRelay) Call(_ context.Context, c *schema.JobCall) scheduler.Reply {
	f.call = c
	return f.reply
}

// fakeEntry has a fixed state, and discards decisions and metrics.
type fakeEntry struct{ unproved bool }

func (fakeEntry) Table() *queue.Table {
	d, err := workspace.New([]workspace.Definition{{Workspace: workspace.Workspace{Name: "dev"}}})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return queue.New(4, []queue.Queue{{Name: "plans", Pool: "carving", Priority: 1, MaxAttempts: 3}}, nil, queue.Limits{}, queue.WithWorkspaces(d))
}

func (e fakeEntry) ConfigProved() bool { return !e.unproved }

func (fakeEntry) Owner() owner.Record {
	return owner.Record{Name: "njiro-1", Address: netip.MustParseAddrPort("10.0.0.1:7000"), Revision: 12}
}
func (fakeEntry) LogLinesDropped() uint64 { return 5 }
func (fakeEntry) Waves(context.Context) ([]*schema.WaveProgress, error) {
	return []*schema.WaveProgress{{Number: 2, BeganMs: 7, Maintained: []string{"vm-1"}}}, nil
}
func (fakeEntry) Add(decision.Record) {}

func (fakeEntry) Event(string, string)               {}
func (fakeEntry) Time(string, string, time.Duration) {}

// request sends one request and returns the status, the body and the Retry-After header.
func request(f *fakeRelay, method, path, kind, body string) (int, string, string) {
	return requestAt(fakeEntry{}, f, method, path, kind, body)
}

// requestAt is request to an entry with the given state.
func requestAt(e fakeEntry, f *fakeRelay, method, path, kind, body string) (int, string, string) {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Content-Type", kind)
	w := httptest.NewRecorder()
	jobapi.New(f, e, e, e).ServeHTTP(w, r)
	b, err := io.ReadAll(w.Body)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return w.Code, strings.TrimSpace(string(b)), w.Header().Get("Retry-After")
}

const (
	jsonJob = `{"id":"5c0e7a21d94b36f8","queue":"plans","payload":"p","steps":[{"count":2,"cpuMilli":500,"memoryMb":64},{"count":1,"after":[0]}]}`
	tomlJob = "id = \"5c0e7a21d94b36f8\"\nqueue = \"plans\"\npayload = \"p\"\n" +
		"[[steps]]\ncount = 2\ncpuMilli = 500\nmemoryMb = 64\n[[steps]]\ncount = 1\nafter = [0]\n"
)

var accepted = &schema.JobRecord{
	Id: "5c0e7a21d94b36f8", Queue: "plans", Payload: "p",
	Steps: []*schema.StepRecord{{Count: 2, CpuMilli: 500, MemoryMb: 64}, {Count: 1, After: []int32{0}}},
}

var _ = ginkgo.Describe("a submission", func() {
	// Guards against 404 for a queue that a newer configuration has.
	ginkgo.DescribeTable("is not told what is absent by a configuration that is not proved", func(path, body string) {
		f := &fakeRelay{}
		code, answer, retry := requestAt(fakeEntry{unproved: true}, f, "POST", path, "", body)
		gomega.Expect(code).To(gomega.Equal(http.StatusServiceUnavailable))
		gomega.Expect(answer).To(gomega.ContainSubstring(`"kind":"unproved"`))
		gomega.Expect(retry).To(gomega.Equal("2"))
		gomega.Expect(f.call).To(gomega.BeNil())
	},
		ginkgo.Entry("a queue", "/v1/jobs", strings.Replace(jsonJob, "plans", "plates", 1)),
		ginkgo.Entry("a workspace", "/v1/preview?workspace=none", jsonJob),
	)

	ginkgo.DescribeTable("is passed to the relay with all its fields", func(kind, body string) {
		f := &fakeRelay{}
		status, answer, _ := request(f, "POST", "/v1/jobs", kind, body)
		gomega.Expect(status).To(gomega.Equal(http.StatusOK))
		gomega.Expect(answer).To(gomega.MatchJSON(`{"id":"5c0e7a21d94b36f8","queue":"plans","pool":"","phase":"queued",
			"acceptedMs":"0","endedMs":"0","nextDueMs":"0","waiting":0,"running":0,"done":0,"tasks":[],"workspace":""}`))
		gomega.Expect(f.call.Kind).To(gomega.Equal(schema.JobCall_SUBMIT))
		gomega.Expect(proto.Equal(f.call.Job, accepted)).To(gomega.BeTrue())
	},
		ginkgo.Entry("from JSON", "application/json", jsonJob), ginkgo.Entry("from TOML", "application/toml; charset=utf-8", tomlJob))

	ginkgo.DescribeTable("is refused with the invalid field and the reason, without a call to the relay", func(kind, body string, status int, want string) {
		f := &fakeRelay{}
		code, answer, _ := request(f, "POST", "/v1/jobs?file=job.toml", kind, body)
		gomega.Expect(answer).To(gomega.MatchJSON(want))
		gomega.Expect(code).To(gomega.Equal(status))
		gomega.Expect(f.call).To(gomega.BeNil())
	},
		ginkgo.Entry("no id", "", strings.Replace(jsonJob, "5c0e7a21d94b36f8", "cup", 1), 400,
			`{"kind":"job","place":"id","error":"id: not 16 hexadecimal digits"}`),
		ginkgo.Entry("no queue", "", strings.Replace(jsonJob, "plans", "", 1), 400, `{"kind":"job","place":"queue","error":"queue: not given"}`),
		ginkgo.Entry("an unknown queue", "", strings.Replace(jsonJob, "plans", "plates", 1), 404,
			`{"kind":"queue","place":"queue","error":"there is no queue plates"}`),
		ginkgo.Entry("a cycle of steps", "", strings.Replace(jsonJob, "[0]", "[1]", 1), 400,
			`{"kind":"job","place":"steps[1]","error":"steps[1]: waits for step 1, which is not an earlier one"}`),
		ginkgo.Entry("a negative size", "", strings.Replace(jsonJob, "500", "-500", 1), 400,
			`{"kind":"job","place":"steps[0]","error":"steps[0]: a negative number"}`),
		ginkgo.Entry("a CPU size out of range", "", strings.Replace(jsonJob, "500", `"4611686018427387904"`, 1), 400,
			`{"kind":"job","place":"steps[0]","error":"steps[0]: a number out of range"}`),
		ginkgo.Entry("an interval out of range", "", strings.Replace(jsonJob, `"payload"`, `"repeat":{"count":2,"intervalMs":"4398046511104"},"payload"`, 1), 400,
			`{"kind":"job","place":"repeat","error":"repeat: a time out of range"}`),
		ginkgo.Entry("a repetition without an interval", "", strings.Replace(jsonJob, `"payload"`, `"repeat":{"count":2},"payload"`, 1), 400,
			`{"kind":"job","place":"repeat","error":"repeat: has no interval"}`),
		ginkgo.Entry("a repetition with count 0", "", strings.Replace(jsonJob, `"payload"`, `"repeat":{},"payload"`, 1), 400,
			`{"kind":"job","place":"repeat.count","error":"repeat.count: not at least 1"}`),
		ginkgo.Entry("an unknown key of TOML", "application/toml", strings.Replace(tomlJob, "memoryMb", "memory", 1), 400,
			`{"kind":"document","error":"job.toml:7: steps[0].memory: unknown key, expected one of accelerators, after, antiAffinity, checkpointing, colocated, count, cpuMilli, dataRack, estimateMs, fills, gang, image, lasting, mayMiss, memoryMb, requires, speculative, targetMs"}`),
		ginkgo.Entry("a string for a number in TOML", "application/toml", strings.Replace(tomlJob, "count = 1", `count = "one"`, 1), 400,
			`{"kind":"document","error":"job.toml:9: steps[1].count: expected an integer, found the string \"one\""}`))

	ginkgo.It("is accepted in the form of the example in deploy", func() {
		b, err := os.ReadFile(filepath.Join("..", "..", "deploy", "job.toml"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		f := &fakeRelay{}
		code, answer, _ := request(f, "POST", "/v1/jobs?id=00000000000000aa", "application/toml", strings.Replace(string(b), "cups", "plans", 1))
		gomega.Expect(code).To(gomega.Equal(http.StatusOK), answer)
		gomega.Expect(f.call.Job.Steps[1].After).To(gomega.Equal([]int32{0}))
	})

	ginkgo.It("may have its id in the URL", func() {
		f := &fakeRelay{}
		code, _, _ := request(f, "POST", "/v1/jobs?id=00000000000000aa", "", strings.Replace(jsonJob, `"id":"5c0e7a21d94b36f8",`, "", 1))
		gomega.Expect([]any{code, f.call.Job.Id}).To(gomega.Equal([]any{http.StatusOK, "00000000000000aa"}))
	})

	ginkgo.It("is refused if its JSON has an unknown field, which the error names", func() {
		code, answer, _ := request(&fakeRelay{}, "POST", "/v1/jobs", "application/json", strings.Replace(jsonJob, "memoryMb", "memory", 1))
		gomega.Expect(code).To(gomega.Equal(http.StatusBadRequest))
		gomega.Expect(answer).To(gomega.ContainSubstring(`unknown field \"memory\"`))
	})

	ginkgo.DescribeTable("gets the status and the error for its result", func(x scheduler.Reply, status int, want, after string) {
		code, answer, retry := request(&fakeRelay{reply: x}, "POST", "/v1/jobs", "", jsonJob)
		gomega.Expect(answer).To(gomega.MatchJSON(want))
		gomega.Expect([]any{code, retry}).To(gomega.Equal([]any{status, after}))
	},
		ginkgo.Entry("refused", scheduler.Reply{Result: scheduler.Refused, Reason: "would be late", RetryAfter: 1200 * time.Millisecond}, 429,
			`{"kind":"refused","error":"would be late","retryAfterMs":1200}`, "2"),
		ginkgo.Entry("unsure", scheduler.Reply{Result: scheduler.OutcomeUnknown, Reason: "no answer"}, 504,
			`{"kind":"unsure","error":"it may have been done, ask again with the same id: no answer"}`, ""),
		ginkgo.Entry("invalid", scheduler.Reply{Result: scheduler.Invalid, Reason: "steps: none"}, 400, `{"kind":"job","error":"steps: none"}`, ""))
})

var _ = ginkgo.Describe("a preview", func() {
	ginkgo.It("is asked for as the workspace, and answered with the decision", func() {
		f := &fakeRelay{reply: scheduler.Reply{Preview: &schema.JobPreview{Reason: "would be late", RetryAfterMs: 500}}}
		code, answer, _ := request(f, "POST", "/v1/preview?workspace=dev", "", jsonJob)
		gomega.Expect([]any{code, f.call.Kind, f.call.Job.Workspace, f.call.Job.Payload}).To(gomega.Equal([]any{200, schema.JobCall_PREVIEW, "dev", "p"}))
		gomega.Expect(answer).To(gomega.MatchJSON(`{"accepted":false,"reason":"would be late","retryAfterMs":"500","tasks":[]}`))
	})

	ginkgo.DescribeTable("that cannot be answered gets an error", func(path, body string, x scheduler.Reply, status int, want string) {
		code, answer, _ := request(&fakeRelay{reply: x}, "POST", path, "", body)
		gomega.Expect(answer).To(gomega.MatchJSON(want))
		gomega.Expect(code).To(gomega.Equal(status))
	},
		ginkgo.Entry("a job that a submission refuses", "/v1/preview", strings.Replace(jsonJob, "5c0e7a21d94b36f8", "cup", 1), scheduler.Reply{}, 400,
			`{"kind":"job","place":"id","error":"id: not 16 hexadecimal digits"}`),
		ginkgo.Entry("an unknown workspace", "/v1/preview?workspace=none", jsonJob, scheduler.Reply{}, 404,
			`{"kind":"workspace","error":"there is no workspace none"}`),
		ginkgo.Entry("an overloaded owner", "/v1/preview", jsonJob, scheduler.Reply{Result: scheduler.Refused, Reason: "the owner is overloaded"}, 429,
			`{"kind":"refused","error":"the owner is overloaded"}`),
		ginkgo.Entry("an owner of an earlier version", "/v1/preview", jsonJob, scheduler.Reply{}, 501,
			`{"kind":"preview","error":"the owner is of a version without previews"}`))
})

var _ = ginkgo.Describe("a query", func() {
	one := scheduler.Reply{Jobs: []*schema.JobStatus{{Id: "a", Phase: "running", Tasks: []*schema.TaskStatus{{Task: "a.0.0.0", WaitsFor: "room"}}}}}
	ginkgo.DescribeTable("is answered", func(method, path string, x scheduler.Reply, kind schema.JobCall_Kind, id, of, want string) {
		f := &fakeRelay{reply: x}
		code, answer, _ := request(f, method, path, "", "")
		gomega.Expect(code).To(gomega.Equal(http.StatusOK))
		gomega.Expect(answer).To(gomega.MatchJSON(want))
		gomega.Expect([]any{f.call.Kind, f.call.Id, f.call.Queue}).To(gomega.Equal([]any{kind, id, of}))
	},
		ginkgo.Entry("about the jobs of a queue", "GET", "/v1/jobs?queue=plans", one, schema.JobCall_LIST, "", "plans",
			`[{"id":"a","queue":"","pool":"","phase":"running","acceptedMs":"0","endedMs":"0","nextDueMs":"0","waiting":0,"running":0,"done":0,"workspace":"",
			"tasks":[{"task":"a.0.0.0","state":"","waitsFor":"room","server":"","run":0,"failures":0,"percent":0,"heardAgeMs":"0"}]}]`),
		ginkgo.Entry("about a job", "GET", "/v1/jobs/a", one, schema.JobCall_EXPLAIN, "a", "",
			`{"id":"a","queue":"","pool":"","phase":"running","acceptedMs":"0","endedMs":"0","nextDueMs":"0","waiting":0,"running":0,"done":0,"workspace":"",
			"tasks":[{"task":"a.0.0.0","state":"","waitsFor":"room","server":"","run":0,"failures":0,"percent":0,"heardAgeMs":"0"}]}`),
		ginkgo.Entry("by cancelling it", "DELETE", "/v1/jobs/a", scheduler.Reply{Phase: job.Cancelled}, schema.JobCall_CANCEL, "a", "",
			`{"id":"a","queue":"","pool":"","phase":"cancelled","acceptedMs":"0","endedMs":"0","nextDueMs":"0","waiting":0,"running":0,"done":0,"tasks":[],"workspace":""}`),
		ginkgo.Entry("about the queues", "GET", "/v1/queues", scheduler.Reply{Pending: 3}, schema.JobCall_PENDING, "", "plans",
			`[{"name":"plans","pool":"carving","priority":1,"attempts":3,"pending":3}]`))

	ginkgo.It("about the pools and the waves is answered with their state", func() {
		f := &fakeRelay{reply: scheduler.Reply{Pools: []*schema.PoolStatus{{Name: "cups", Servers: 3, Usable: 2, Cores: 192}}}}
		_, answer, _ := request(f, "GET", "/v1/pools", "", "")
		gomega.Expect(f.call.Kind).To(gomega.Equal(schema.JobCall_POOLS))
		gomega.Expect(answer).To(gomega.MatchJSON(`[{"name":"cups","servers":3,"usable":2,"silent":0,"cores":192,"coresUsed":0,
			"coresNeeded":0,"tasksRunning":0,"tasksWaiting":0}]`))
		_, answer, _ = request(f, "GET", "/v1/waves", "", "")
		gomega.Expect(answer).To(gomega.MatchJSON(`[{"number":2,"beganMs":"7","maintained":["vm-1"],"complete":false}]`))
	})

	ginkgo.It("about the workspaces is answered with all of them or the one that is named", func() {
		f := &fakeRelay{reply: scheduler.Reply{Workspaces: []*schema.WorkspaceStatus{
			{Name: "dev", Weight: 1.5, Cap: &schema.ResourceAmount{CpuMilli: 2000}, TasksWaiting: 2, Refused: map[string]int64{"cap": 3}}, {Name: "ops"},
		}}}
		dev := `{"name":"dev","weight":1.5,"cap":{"cpuMilli":"2000","memoryMb":"0","accelerators":"0"},"running":null,
			"tasksRunning":0,"tasksWaiting":2,"jobs":0,"refused":{"cap":"3"},"shares":[]}`
		_, answer, _ := request(f, "GET", "/v1/workspaces", "", "")
		gomega.Expect(f.call.Kind).To(gomega.Equal(schema.JobCall_WORKSPACES))
		gomega.Expect(answer).To(gomega.MatchJSON("[" + dev + `,{"name":"ops","weight":0,"cap":null,"running":null,
			"tasksRunning":0,"tasksWaiting":0,"jobs":0,"refused":{},"shares":[]}]`))
		_, answer, _ = request(f, "GET", "/v1/workspaces/dev", "", "")
		gomega.Expect(answer).To(gomega.MatchJSON(dev))
		code, answer, _ := request(f, "GET", "/v1/workspaces/none", "", "")
		gomega.Expect(code).To(gomega.Equal(http.StatusNotFound))
		gomega.Expect(answer).To(gomega.MatchJSON(`{"kind":"workspace","error":"there is no workspace none"}`))
		f.reply = scheduler.Reply{Result: scheduler.Refused, Reason: "nobody owns the fleet at present"}
		code, _, _ = request(f, "GET", "/v1/workspaces/dev", "", "")
		gomega.Expect(code).To(gomega.Equal(http.StatusTooManyRequests))
	})

	ginkgo.It("about the owner is answered by this entry", func() {
		_, answer, _ := request(&fakeRelay{}, "GET", "/v1/owner", "", "")
		gomega.Expect(answer).To(gomega.MatchJSON(`{"name":"njiro-1","address":"10.0.0.1:7000","revision":12,"config":4,"logsDropped":5}`))
	})

	ginkgo.It("about a job that does not exist is answered with status 404", func() {
		code, answer, _ := request(&fakeRelay{reply: scheduler.Reply{Result: scheduler.NotFound}}, "GET", "/v1/jobs/b", "", "")
		gomega.Expect(code).To(gomega.Equal(http.StatusNotFound))
		gomega.Expect(answer).To(gomega.MatchJSON(`{"kind":"absent","error":"there is no such job"}`))
	})
})
