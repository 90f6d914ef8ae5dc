package crowd_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/bench/crowd"
	"github.com/tarragonbank/tarragonbank/bench/jobsite"
)

const (
	// jobsMemoryMB and jobsDescriptors are what the settings allow an entry.
	jobsMemoryMB    = 96
	jobsDescriptors = 400
	// crowdDuration is how long a crowd stays.
	crowdDuration = 4 * time.Second
	// maxBodyBytes is the limit of a submission's body.
	maxBodyBytes = 256 << 10
	// hangLimit is the time after which a request without an answer counts as one to a process that hangs.
	hangLimit = time.Minute
	mebibyte  = 1 << 20
)

// jobs is a site whose entries have little memory.
type jobs struct {
	*gomega.WithT
	site *jobsite.Site
	ctx  context.Context
}

func startJobs(t *testing.T, descriptors int) *jobs {
	g := gomega.NewWithT(t)
	binaries := t.TempDir()
	text, err := exec.Command("go", "build", "-o", binaries+"/", "../../platform/cmd/tarragonjobs").CombinedOutput()
	g.Expect(err).NotTo(gomega.HaveOccurred(), string(text))
	s, err := jobsite.New(t.Context(), jobsite.Options{
		Binaries: binaries, Out: t.TempDir(), Seed: 1, Entries: 2, VMsPerPool: 2, Untimed: true, MemoryMB: jobsMemoryMB, MaxDescriptors: descriptors,
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(s.Stop)
	return &jobs{g, s, t.Context()}
}

// owner returns the entry that owns the fleet, other one that does not.
func (x *jobs) owner() *jobsite.Entry {
	return x.find(true)
}

func (x *jobs) other() *jobsite.Entry {
	return x.find(false)
}

func (x *jobs) find(owner bool) *jobsite.Entry {
	var v struct{ Name string }
	a, err := http.Get("http://" + x.site.Entries[0].Spec.ReadinessAddress.String() + "/v1/owner")
	x.Expect(err).NotTo(gomega.HaveOccurred())
	defer a.Body.Close()
	x.Expect(json.NewDecoder(a.Body).Decode(&v)).To(gomega.Succeed())
	for _, e := range x.site.Entries {
		if (e.Name == v.Name) == owner {
			return e
		}
	}
	return nil
}

// withstands lets a crowd call an address of an entry. The entry must live, stay below its limits and answer a caller afterwards.
func (x *jobs) withstands(e *jobsite.Entry, a netip.AddrPort, descriptors, size int, c crowd.Client) {
	m := crowd.Watch(e.PID(), e.Spec.CallerAddress, e.Spec.ReadinessAddress, e.Spec.PeerAddress)
	k := crowd.Start(x.ctx, a, size, c)
	time.Sleep(crowdDuration)
	k.Stop()
	x.Eventually(func() (int, error) { return x.submit(e) }, hangLimit, "100ms").Should(gomega.Equal(http.StatusOK), "the entry answers a caller")
	p, err := m.Stop()
	x.Expect(err).NotTo(gomega.HaveOccurred(), "the entry lives")
	for _, y := range x.site.Entries {
		x.Expect(y.Done()).NotTo(gomega.BeClosed(), "the entry lives")
	}
	fmt.Printf("%s: %.1f MB, %d descriptors, %d connections\n", e.Name, float64(p.MemoryBytes)/mebibyte, p.Descriptors, k.Opened())
	x.Expect(p.MemoryBytes).To(gomega.BeNumerically("<=", jobsMemoryMB*mebibyte), "memory")
	x.Expect(p.Descriptors).To(gomega.BeNumerically("<=", descriptors), "descriptors")
}

// ordinaryJob is the body of a usual submission.
const ordinaryJob = `{"task-spec":"ordinary","steps":[{"count":1,"cpu":1000,"mem-mb":100,"estimate-ms":100}]}`

// ordinaryID is the ID of the job that an ordinary caller submits, again and again.
const ordinaryID = "00000000000000aa"

func (x *jobs) submit(e *jobsite.Entry) (int, error) {
	ctx, stop := context.WithTimeout(x.ctx, hangLimit)
	defer stop()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Spec.CallerAddress.String()+"/cups/"+ordinaryID, strings.NewReader(ordinaryJob))
	if err != nil {
		return 0, err
	}
	r.Host = "workshop.example"
	r.Close = true
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, nil
	}
	defer a.Body.Close()
	_, err = io.Copy(io.Discard, a.Body)
	return a.StatusCode, err
}

// jobID returns an ID that no other connection uses.
func jobID(i, n int) string {
	return fmt.Sprintf("%08x%08x", i+1, n+1)
}

// post returns the head of a submission with the header fields.
func post(id, fields string) []byte {
	return postTo("cups", id, fields)
}

// postTo is post for a queue. Those of a pool that is full refuse ordinary callers too.
func postTo(queue, id, fields string) []byte {
	return []byte("POST /" + queue + "/" + id + " HTTP/1.1\r\nHost: workshop.example\r\nContent-Type: application/json\r\n" + fields + "\r\n\r\n")
}

// longJob returns a submission of n bytes that is valid and small once decoded.
func longJob(n int) []byte {
	return append([]byte(ordinaryJob), bytes.Repeat([]byte(" "), n-len(ordinaryJob))...)
}

// split divides a text into pieces of n bytes.
func split(b []byte, n int) [][]byte {
	l := [][]byte{}
	for len(b) > n {
		l, b = append(l, b[:n]), b[n:]
	}
	return append(l, b)
}

// unfinishedPieces returns a client that announces a body of the largest size, sends it in pieces and stops one byte before its end.
func unfinishedPieces(pieceBytes int, pause time.Duration) crowd.Client {
	body := longJob(maxBodyBytes)[:maxBodyBytes-1]
	return crowd.Client{Pause: pause, Pieces: func(i, n int) [][]byte {
		return append([][]byte{post(jobID(i, n), fmt.Sprintf("Content-Length: %d", maxBodyBytes))}, split(body, pieceBytes)...)
	}}
}

// unfinishedChunks returns a client that sends a body of the largest size in chunks and leaves out the last one.
func unfinishedChunks(chunkBytes int) crowd.Client {
	var b bytes.Buffer
	for _, p := range split(longJob(maxBodyBytes), chunkBytes) {
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(p), p)
	}
	return crowd.Client{Pieces: func(i, n int) [][]byte {
		return [][]byte{post(jobID(i, n), "Transfer-Encoding: chunked"), b.Bytes()}
	}}
}

// repeated returns a client that sends a whole submission, reads the answer and comes again with another job.
func repeated(fields func(body []byte) string, body func(i, n int) []byte) crowd.Client {
	return crowd.Client{Reconnects: true, Pieces: func(i, n int) [][]byte {
		b := body(i, n)
		return [][]byte{post(jobID(i, n), fields(b)), b}
	}}
}

// repeatedIn returns a client that submits the same body to a queue as one job after the other.
func repeatedIn(queue string, body []byte) crowd.Client {
	return crowd.Client{Reconnects: true, Pieces: func(i, n int) [][]byte {
		return [][]byte{postTo(queue, jobID(i, n), announced(body)), body}
	}}
}

func announced(b []byte) string {
	return fmt.Sprintf("Content-Length: %d", len(b))
}

// Guards against the memory of bodies of which the last byte is missing.
func TestUnfinishedBodiesExceedMemory(t *testing.T) {
	x := startJobs(t, 0)
	e := x.owner()
	x.withstands(e, e.Spec.CallerAddress, 4100, 500, unfinishedPieces(maxBodyBytes, 0))
}

// Guards against the same at an entry that forwards its callers' jobs.
func TestUnfinishedBodiesExceedMemoryOfForwardingEntry(t *testing.T) {
	x := startJobs(t, 0)
	e := x.other()
	x.withstands(e, e.Spec.CallerAddress, 4100, 500, unfinishedPieces(maxBodyBytes, 0))
}

// Guards against the memory of unfinished bodies that arrive piece by piece.
func TestUnfinishedPiecesExceedMemory(t *testing.T) {
	x := startJobs(t, 0)
	e := x.owner()
	x.withstands(e, e.Spec.CallerAddress, 4100, 500, unfinishedPieces(4096, time.Millisecond))
}

// Guards against the memory of unfinished bodies in chunks of one byte.
func TestUnfinishedSmallChunksExceedMemory(t *testing.T) {
	x := startJobs(t, 0)
	e := x.owner()
	x.withstands(e, e.Spec.CallerAddress, 4100, 500, unfinishedChunks(1))
}

// Guards against the memory of unfinished bodies in one large chunk.
func TestUnfinishedLargeChunksExceedMemory(t *testing.T) {
	x := startJobs(t, 0)
	e := x.owner()
	x.withstands(e, e.Spec.CallerAddress, 4100, 500, unfinishedChunks(maxBodyBytes))
}

// Guards against the memory of headers that are far longer than the limit.
func TestLongHeadersExceedMemory(t *testing.T) {
	x := startJobs(t, 0)
	e := x.owner()
	line := append([]byte("X-Long: "), bytes.Repeat([]byte("a"), 900<<10)...)
	x.withstands(e, e.Spec.CallerAddress, 4100, 150, crowd.Client{Pieces: func(i, n int) [][]byte {
		return [][]byte{[]byte("GET /cups/" + jobID(i, n) + " HTTP/1.1\r\nHost: workshop.example\r\n"), line}
	}})
}

// Guards against the memory of many header fields in a header within the limit.
func TestManyHeaderFieldsExceedMemory(t *testing.T) {
	x := startJobs(t, 0)
	e := x.owner()
	var b bytes.Buffer
	for i := 0; b.Len() < 15<<10; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	x.withstands(e, e.Spec.CallerAddress, 4100, 800, crowd.Client{Pieces: func(i, n int) [][]byte {
		return [][]byte{[]byte("GET /cups/" + jobID(i, n) + " HTTP/1.1\r\nHost: workshop.example\r\n"), b.Bytes()}
	}})
}

// Guards against the memory of bodies far over the limit, which are announced.
func TestOversizedBodiesExceedMemory(t *testing.T) {
	x := startJobs(t, 0)
	e := x.owner()
	body := longJob(4 * mebibyte)
	x.withstands(e, e.Spec.CallerAddress, 4100, 600, repeated(announced, func(int, int) []byte { return body }))
}

// Guards against the memory of bodies far over the limit, which are not announced.
func TestOversizedChunkedBodiesExceedMemory(t *testing.T) {
	x := startJobs(t, 0)
	e := x.owner()
	body := longJob(4 * mebibyte)
	chunk := append([]byte(fmt.Sprintf("%x\r\n", len(body))), body...)
	x.withstands(e, e.Spec.CallerAddress, 4100, 600, repeated(func([]byte) string { return "Transfer-Encoding: chunked" }, func(int, int) []byte { return chunk }))
}

// Guards against the memory of whole bodies of the largest size.
func TestWholeBodiesExceedMemory(t *testing.T) {
	x := startJobs(t, 0)
	e := x.owner()
	body := longJob(maxBodyBytes)
	x.withstands(e, e.Spec.CallerAddress, 4100, 500, repeated(announced, func(int, int) []byte { return body }))
}

// Guards against the memory of jobs whose steps take far more memory than their text.
func TestJobsOfManyStepsExceedMemory(t *testing.T) {
	x := startJobs(t, 0)
	e := x.owner()
	body := []byte(`{"steps":[{}` + strings.Repeat(",{}", 87000) + `]}`)
	x.withstands(e, e.Spec.CallerAddress, 4100, 50, repeated(announced, func(int, int) []byte { return body }))
}

// Guards against the memory of log lines that quote a request.
func TestQuotedNumbersExceedMemory(t *testing.T) {
	x := startJobs(t, 0)
	e := x.owner()
	body := []byte(`{"steps":[{"count":` + strings.Repeat("9", 250000) + `}]}`)
	x.withstands(e, e.Spec.CallerAddress, 4100, 100, repeated(announced, func(int, int) []byte { return body }))
}

// Guards against the memory of accepted jobs, of which each is within the limits.
func TestAcceptedJobsExceedMemory(t *testing.T) {
	x := startJobs(t, 0)
	e := x.owner()
	step := `{"count":16,"cpu":1,"mem-mb":1,"estimate-ms":100,"long-running":true,"image":"` + strings.Repeat("i", 900) + `"}`
	body := []byte(`{"task-spec":"` + strings.Repeat("s", 4000) + `","steps":[` + step + strings.Repeat(","+step, 255) + `]}`)
	x.withstands(e, e.Spec.CallerAddress, 4100, 100, repeatedIn("carving", body))
}

// Guards against the memory of answers that clients do not read while they send further requests.
func TestUnreadAnswersExceedMemory(t *testing.T) {
	x := startJobs(t, 0)
	e := x.owner()
	request := []byte("GET /cups/" + ordinaryID + " HTTP/1.1\r\nHost: workshop.example\r\n\r\n")
	x.withstands(e, e.Spec.CallerAddress, 4100, 500, crowd.Client{Deaf: true, Pieces: func(int, int) [][]byte {
		return split(bytes.Repeat(request, 10000), 64<<10)
	}})
}

// Guards against unfinished bodies that take the descriptors which the entry needs for its own connections.
func TestUnfinishedBodiesExceedDescriptors(t *testing.T) {
	x := startJobs(t, jobsDescriptors)
	e := x.owner()
	x.withstands(e, e.Spec.CallerAddress, jobsDescriptors, 600, crowd.Client{Pieces: func(i, n int) [][]byte {
		return [][]byte{post(jobID(i, n), "Content-Length: 100")}
	}})
}

// Guards against connections without a request that take the descriptors which the entry needs for its own connections.
func TestSilentClientsExceedDescriptors(t *testing.T) {
	x := startJobs(t, jobsDescriptors)
	e := x.owner()
	for _, a := range []netip.AddrPort{e.Spec.CallerAddress, e.Spec.ReadinessAddress, e.Spec.PeerAddress} {
		x.withstands(e, a, jobsDescriptors, 600, crowd.Client{Pieces: func(int, int) [][]byte { return nil }})
	}
}

// Guards against connections that linger after their requests were refused, with the rest of the body on the way.
func TestRefusedBodiesExceedDescriptors(t *testing.T) {
	x := startJobs(t, jobsDescriptors)
	e := x.owner()
	head := []byte("POST /v1/queues HTTP/1.1\r\nHost: entry\r\nContent-Length: 4194304\r\n\r\n")
	body := longJob(4 * mebibyte)
	x.withstands(e, e.Spec.ReadinessAddress, jobsDescriptors, 600, crowd.Client{Reconnects: true, Pieces: func(int, int) [][]byte { return [][]byte{head, body} }})
}

// Guards against the memory of unfinished bodies at the job API.
func TestUnfinishedBodiesOfJobAPIExceedMemory(t *testing.T) {
	x := startJobs(t, 0)
	e := x.owner()
	head := []byte("POST /v1/jobs HTTP/1.1\r\nHost: entry\r\nContent-Length: 1048576\r\n\r\n")
	body := longJob(mebibyte)[:mebibyte-1]
	x.withstands(e, e.Spec.ReadinessAddress, 4100, 150, crowd.Client{Pieces: func(int, int) [][]byte { return [][]byte{head, body} }})
}

// Guards against the memory of bodies far over the limit at the job API.
func TestOversizedBodiesOfJobAPIExceedMemory(t *testing.T) {
	x := startJobs(t, 0)
	e := x.owner()
	head := []byte("POST /v1/jobs HTTP/1.1\r\nHost: entry\r\nContent-Length: 4194304\r\n\r\n")
	body := longJob(4 * mebibyte)
	x.withstands(e, e.Spec.ReadinessAddress, 4100, 300, crowd.Client{Reconnects: true, Pieces: func(int, int) [][]byte { return [][]byte{head, body} }})
}

// Guards against the memory of jobs at the job API whose steps take far more memory than their text.
func TestJobsOfManyStepsAtJobAPIExceedMemory(t *testing.T) {
	x := startJobs(t, 0)
	e := x.owner()
	body := []byte(strings.Repeat("[[steps]]\n", 100000))
	head := []byte(fmt.Sprintf("POST /v1/jobs HTTP/1.1\r\nHost: entry\r\nContent-Type: application/toml\r\nContent-Length: %d\r\n\r\n", len(body)))
	x.withstands(e, e.Spec.ReadinessAddress, 4100, 50, crowd.Client{Reconnects: true, Pieces: func(int, int) [][]byte { return [][]byte{head, body} }})
}

// Parts of the frames of a session between entries: version, type, flags, stream and length.
var (
	openStream  = []byte{0, 1, 0, 1, 0, 0, 0, 1, 0, 0, 0, 0}
	streamData  = []byte{0, 0, 0, 0, 0, 0, 0, 1}
	messageSize = []byte{0, 0x40, 0, 0}
)

// unfinishedMessage returns a client that announces a message of the largest size on a stream of a session between entries, and
// leaves out its end.
func unfinishedMessage() crowd.Client {
	data := func(b []byte) []byte {
		return append(binary.BigEndian.AppendUint32(bytes.Clone(streamData), uint32(len(b))), b...)
	}
	l := [][]byte{openStream, data(messageSize)}
	for range 127 {
		l = append(l, data(make([]byte, 32<<10)))
	}
	return crowd.Client{Pause: time.Millisecond, Pieces: func(int, int) [][]byte { return l }}
}

// Guards against the memory of messages between entries that are announced and not sent to their end.
func TestUnfinishedMessagesExceedMemory(t *testing.T) {
	x := startJobs(t, 0)
	e := x.owner()
	x.withstands(e, e.Spec.PeerAddress, 4100, 300, unfinishedMessage())
}

// Guards against the memory of the occurrences of one job, within the limits, that are all due.
func TestDueOccurrencesExceedMemory(t *testing.T) {
	x := startJobs(t, 0)
	e := x.owner()
	body := []byte(`{"steps":[{"count":4096,"cpu":1,"mem-mb":1,"estimate-ms":100}],"repeat-count":100,"start-at-ms":1,"interval-ms":1}`)
	x.withstands(e, e.Spec.CallerAddress, 4100, 1, repeatedIn("carving", body))
}
