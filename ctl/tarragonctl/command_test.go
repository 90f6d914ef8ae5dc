package tarragonctl_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/gravitational/trace"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/ctl/tarragonctl"
	"github.com/tarragonbank/tarragonbank/fleet/suite"
)

func TestTarragonctl(t *testing.T) {
	suite.Run(t, "tarragonctl")
}

// fakeEntry answers every request with the same status and body and records the last request.
type fakeEntry struct {
	status        int
	body          string
	request       string
	authorization string
	query         string
	contentType   string
}

func (e *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b, _ := io.ReadAll(r.Body)
	e.request = r.Method + " " + r.URL.Path + " " + string(b)
	e.authorization = r.Header.Get("Authorization")
	e.query = r.URL.RawQuery
	e.contentType = r.Header.Get("Content-Type")
	w.WriteHeader(e.status)
	_, _ = io.WriteString(w, e.body)
}

func run(e *fakeEntry, name string, o tarragonctl.Options) (string, error) {
	s := httptest.NewServer(e)
	defer s.Close()
	var w bytes.Buffer
	err := tarragonctl.Run(context.Background(), name, tarragonctl.New(s.URL, "secret"), o, &w)
	return w.String(), err
}

const jobBody = `{"id":"a1","queue":"plans","phase":"running","acceptedMs":"5","waiting":1,"running":1,"tasks":[
	{"task":"a1.0.0.0","state":"working","server":"s-7","run":2,"failures":1,"percent":40,"heardAgeMs":"120"},
	{"task":"a1.0.1.0","state":"waiting","waitsFor":"steps [0]","heardAgeMs":"0"}]}`

const workspaceBody = `{"name":"dev","weight":1.5,"cap":{"cpuMilli":"8000","memoryMb":"0","accelerators":"2"},
	"running":{"cpuMilli":"2500","memoryMb":"64","accelerators":"0"},"tasksRunning":3,"tasksWaiting":4,"jobs":7,
	"refused":{"share":"1","cap":"2"},"shares":[{"pool":"cups","used":0.5,"fair":0.125},{"pool":"plans","used":0,"fair":1}]}`

var _ = ginkgo.DescribeTable("a command sends its request and prints the result of",
	func(name, body, request, want string) {
		e := &fakeEntry{status: http.StatusOK, body: body}
		out, err := run(e, name, tarragonctl.Options{Argument: "cups", TargetRevision: 4, BaseRevision: -1})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect([]string{e.request, out, e.authorization}).To(gomega.Equal([]string{request, want, "Bearer secret"}))
	},
	ginkgo.Entry("a list of pools", "pools", `[{"name":"cups","granted":12,"load":{"busy":3},"out":{"cups-01":"failing"}}]`,
		"GET /v1/pools ", "name  granted  load         out\ncups  12       map[busy:3]  map[cups-01:failing]  \n"),
	ginkgo.Entry("a pause of maintenance", "maintenance pause", `{"revision":7}`, "POST /v1/maintenance/cups/pause {}", "revision 7\n"),
	ginkgo.Entry("a drain", "vm drain", `{"revision":8}`, "POST /v1/vms/cups/drain {}", "revision 8\n"),
	ginkgo.Entry("a rollback", "config rollback", `{"revision":9}`, `POST /v1/config/rollback {"author":"","mark":"","revision":4}`, "revision 9\n"),
	ginkgo.Entry("a list of jobs", "job list", `[{"id":"a1","queue":"plans","phase":"running","waiting":1,"running":2,"done":3}]`,
		"GET /v1/jobs ", "id  queue  phase    waiting  running  done\na1  plans  running  1        2        3  \n"),
	ginkgo.Entry("the summary of a job", "job show", jobBody, "GET /v1/jobs/cups ", "a1 running: 1 waiting, 1 running, 0 done\n"),
	ginkgo.Entry("the tasks of a job", "job explain", jobBody, "GET /v1/jobs/cups ",
		"a1 running: 1 waiting, 1 running, 0 done\n"+
			"task      state    run  failures  percent  server  heard ms ago  waits for\n"+
			"a1.0.0.0  working  2    1         40       s-7     120           \n"+
			"a1.0.1.0  waiting  0    0         0                0             steps [0]\n"),
	ginkgo.Entry("the tasks of a job of a workspace", "job explain", `{"id":"a1","phase":"queued","waiting":1,"workspace":"dev","tasks":[
		{"task":"a1.0.0.0","state":"waiting","waitsFor":"the cap of workspace dev"}]}`, "GET /v1/jobs/cups ",
		"a1 queued: 1 waiting, 0 running, 0 done\nworkspace dev\n"+
			"task      state    run  failures  percent  server  heard ms ago  waits for\n"+
			"a1.0.0.0  waiting  0    0         0                              the cap of workspace dev\n"),
	ginkgo.Entry("a list of workspaces", "workspace list", "["+workspaceBody+`,{"name":"ops"}]`, "GET /v1/workspaces ",
		"name  weight  jobs  tasksRunning  tasksWaiting  running           cap                      refused\n"+
			"dev   1.5     7     3             4             2.5 cores, 64 MB  8 cores, 2 accelerators  2 cap, 1 share\n"+
			"ops   0       0     0             0             nothing           no limit                 none\n"),
	ginkgo.Entry("a workspace", "workspace show", workspaceBody, "GET /v1/workspaces/cups ",
		"name          dev\nweight        1.5\ncap           8 cores, 2 accelerators\nrunning       2.5 cores, 64 MB\n"+
			"tasksRunning  3\ntasksWaiting  4\njobs          7\nrefused       2 cap, 1 share\n"+
			"\npool   used   fair share\ncups   50.0%  12.5%\nplans  0.0%   100.0%\n"),
	ginkgo.Entry("a wait for a job that has completed", "job wait", strings.Replace(jobBody, "running", "completed", 1), "GET /v1/jobs/cups ",
		"a1 completed: 1 waiting, 1 running, 0 done\n"),
	ginkgo.Entry("a cancellation", "job cancel", `{"id":"a1","phase":"cancelled"}`, "DELETE /v1/jobs/cups ",
		"a1 cancelled: 0 waiting, 0 running, 0 done\n"),
	ginkgo.Entry("a list of queues", "queues", `[{"name":"plans","pool":"carving","priority":0,"attempts":3,"pending":4}]`,
		"GET /v1/queues ", "name   pool     priority  attempts  pending\nplans  carving  0         3         4  \n"),
	ginkgo.Entry("the capacity and demand of pools", "fleet pools", `[{"name":"cups","servers":3,"usable":2,"silent":1,"cores":192,"coresUsed":8.5,
		"coresNeeded":20,"tasksRunning":4,"tasksWaiting":5}]`, "GET /v1/pools ",
		"name  servers  usable  silent  cores  coresUsed  coresNeeded  tasksRunning  tasksWaiting\n"+
			"cups  3        2       1       192    8.5        20           4             5  \n"),
	ginkgo.Entry("a list of maintenance waves", "fleet waves", `[{"number":2,"complete":false,"maintained":["a","b"]}]`, "GET /v1/waves ",
		"number  complete  maintained\n2       false     [a b]  \n"),
	ginkgo.Entry("the owner", "owner", `{"name":"e-1","address":"10.0.0.1:7","revision":9,"config":3,"logsDropped":0}`,
		"GET /v1/owner ", "name         e-1\naddress      10.0.0.1:7\nrevision     9\nconfig       3\nlogsDropped  0\n"),
	ginkgo.Entry("a collection of unused sections", "config collect", `{"deleted":3}`, "POST /v1/config/collect {}", "deleted 3 sections\n"),
)

var _ = ginkgo.Describe("a command", func() {
	ginkgo.It("prints the sections that a checked configuration would change", func() {
		d := ginkgo.GinkgoT().TempDir()
		i, r := filepath.Join(d, "inventory.toml"), filepath.Join(d, "rules.toml")
		gomega.Expect(os.WriteFile(i, []byte("# vms"), 0o600)).To(gomega.Succeed())
		gomega.Expect(os.WriteFile(r, []byte("# rules"), 0o600)).To(gomega.Succeed())
		e := &fakeEntry{status: http.StatusOK, body: `{"revision":3,"changed":["pool/cups"]}`}
		out, err := run(e, "config check", tarragonctl.Options{Inventory: i, Rules: r, BaseRevision: 2})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(out).To(gomega.Equal("revision 3\n  changes pool/cups\n"))
	})

	ginkgo.It("returns the error message of the entry", func() {
		e := &fakeEntry{status: http.StatusConflict, body: `{"error":"the change is based on revision 1, but revision 2 is in force","kind":"base"}`}
		_, err := run(e, "config rollback", tarragonctl.Options{})
		gomega.Expect(trace.Unwrap(err)).To(gomega.MatchError("the change is based on revision 1, but revision 2 is in force"))
	})

	ginkgo.DescribeTable("submits the contents of a job file unchanged, with the given ID", func(file, contentType string) {
		f := filepath.Join(ginkgo.GinkgoT().TempDir(), file)
		gomega.Expect(os.WriteFile(f, []byte("the job"), 0o600)).To(gomega.Succeed())
		e := &fakeEntry{status: http.StatusOK, body: `{"id":"00000000000000aa","phase":"queued"}`}
		out, err := run(e, "job submit", tarragonctl.Options{Argument: f, JobID: "00000000000000aa"})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect([]string{e.request, e.query, e.contentType, out}).To(gomega.Equal([]string{
			"POST /v1/jobs the job", "file=" + file + "&id=00000000000000aa", contentType, "00000000000000aa queued: 0 waiting, 0 running, 0 done\n",
		}))
	},
		ginkgo.Entry("in TOML", "job.toml", "application/toml"), ginkgo.Entry("in JSON", "job.json", "application/json"))

	ginkgo.DescribeTable("previews a job file and prints", func(body, want string) {
		f := filepath.Join(ginkgo.GinkgoT().TempDir(), "job.toml")
		gomega.Expect(os.WriteFile(f, []byte("the job"), 0o600)).To(gomega.Succeed())
		e := &fakeEntry{status: http.StatusOK, body: body}
		out, err := run(e, "job explain", tarragonctl.Options{File: f, JobID: "00000000000000aa", Workspace: "dev"})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect([]string{e.request, e.query, e.contentType, out}).To(gomega.Equal([]string{
			"POST /v1/preview the job", "file=job.toml&id=00000000000000aa&workspace=dev", "application/toml", want,
		}))
	},
		ginkgo.Entry("where its tasks would go", `{"accepted":true,"reason":"admitted","retryAfterMs":"0","tasks":[
			{"task":"a.0.0.0","server":"s-1","cost":0.25,"alternatives":[{"server":"s-2","cost":0.5}],"excluded":{"silent":2,"full":1},"expectedStartMs":"1800000000000"},
			{"task":"a.0.0.1","server":"","cost":0,"waitsFor":"room","expectedStartMs":"0"}]}`,
			"would be accepted: admitted\n"+
				"task     server  cost  next best  expected start        waits for  servers ruled out\n"+
				"a.0.0.0  s-1     0.25  s-2 0.50   2027-01-15T08:00:00Z             1 full, 2 silent\n"+
				"a.0.0.1                           unknown               room       \n"),
		ginkgo.Entry("its refusal", `{"accepted":false,"reason":"would be late","retryAfterMs":"1200"}`, "would be refused: would be late\nretry after: 1.2s\n"))

	ginkgo.It("explains either a submitted job or a file", func() {
		for _, o := range []tarragonctl.Options{{}, {Argument: "a", File: "job.toml"}} {
			_, err := run(&fakeEntry{}, "job explain", o)
			gomega.Expect(trace.IsBadParameter(err)).To(gomega.BeTrue())
		}
	})

	ginkgo.It("generates a job ID if none is given", func() {
		f := filepath.Join(ginkgo.GinkgoT().TempDir(), "job.json")
		gomega.Expect(os.WriteFile(f, []byte("{}"), 0o600)).To(gomega.Succeed())
		e := &fakeEntry{status: http.StatusOK, body: `{}`}
		_, err := run(e, "job submit", tarragonctl.Options{Argument: f})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(e.query).To(gomega.MatchRegexp("^file=job.json&id=[0-9a-f]{16}$"))
	})

	ginkgo.It("includes the job ID in the error of a failed submission", func() {
		f := filepath.Join(ginkgo.GinkgoT().TempDir(), "job.json")
		gomega.Expect(os.WriteFile(f, []byte("{}"), 0o600)).To(gomega.Succeed())
		e := &fakeEntry{status: http.StatusTooManyRequests, body: `{"kind":"refused","error":"would be late"}`}
		_, err := run(e, "job submit", tarragonctl.Options{Argument: f, JobID: "00000000000000aa"})
		gomega.Expect(trace.Unwrap(err)).To(gomega.MatchError("job 00000000000000aa: would be late"))
	})

	ginkgo.It("returns an error after waiting for a job that failed", func() {
		e := &fakeEntry{status: http.StatusOK, body: `{"id":"cups","phase":"failed"}`}
		_, err := run(e, "job wait", tarragonctl.Options{Argument: "cups"})
		gomega.Expect(trace.Unwrap(err)).To(gomega.MatchError(&tarragonctl.JobNotCompletedError{ID: "cups", Phase: "failed"}))
	})

	ginkgo.It("returns an error if its name is unknown", func() {
		_, err := run(&fakeEntry{}, "config burn", tarragonctl.Options{})
		gomega.Expect(trace.Unwrap(err)).To(gomega.MatchError(`unknown command "config burn"`))
	})

	ginkgo.It("returns a not-found error if an input file is missing", func() {
		_, err := run(&fakeEntry{}, "config apply", tarragonctl.Options{Inventory: "none.toml"})
		gomega.Expect(trace.IsNotFound(err)).To(gomega.BeTrue())
	})
})
