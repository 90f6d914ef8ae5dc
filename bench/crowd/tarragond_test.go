package crowd_test

import (
	"bytes"
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
	"github.com/tarragonbank/tarragonbank/bench/site"
)

// entryMemoryMB is what an entry may hold under its default settings.
const entryMemoryMB = 256

// entries is a site of tarragond entries.
type entries struct {
	*gomega.WithT
	site *site.Site
}

// startEntries starts a site with more settings, in TOML.
func startEntries(t *testing.T, more ...string) *entries {
	g := gomega.NewWithT(t)
	binaries := t.TempDir()
	text, err := exec.Command("go", "build", "-o", binaries+"/", "../../entry/cmd/tarragond", "../../ctl/cmd/tarragonctl").CombinedOutput()
	g.Expect(err).NotTo(gomega.HaveOccurred(), string(text))
	s, err := site.New(t.Context(), site.Options{
		Binaries: binaries, Deploy: "../../deploy/horncraft", Out: t.TempDir(), Seed: 1, Entries: 2, ServiceTime: time.Millisecond, Settings: strings.Join(more, "\n"),
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(s.Stop)
	return &entries{g, s}
}

// withstands lets a crowd call an address of the first entry. The entry must live, stay below its memory and answer a caller
// afterwards. It returns the most that the entry held.
func (x *entries) withstands(t *testing.T, a netip.AddrPort, size int, c crowd.Client) crowd.Peak {
	e := x.site.Entries[0]
	m := crowd.Watch(e.PID(), e.CallerAddress, e.OperatorAddress, e.PeerListenAddress)
	k := crowd.Start(t.Context(), a, size, c)
	time.Sleep(crowdDuration)
	k.Stop()
	x.Eventually(func() (int, error) { return x.call(e) }, hangLimit, "100ms").Should(gomega.Equal(http.StatusOK), "the entry answers a caller")
	p, err := m.Stop()
	x.Expect(err).NotTo(gomega.HaveOccurred(), "the entry lives")
	for _, y := range x.site.Entries {
		x.Expect(y.Done()).NotTo(gomega.BeClosed(), "the entry lives")
	}
	fmt.Printf("%s: %.1f MB, %d descriptors, %d connections\n", e.Name, float64(p.MemoryBytes)/mebibyte, p.Descriptors, k.Opened())
	x.Expect(p.MemoryBytes).To(gomega.BeNumerically("<=", entryMemoryMB*mebibyte), "memory")
	return p
}

func (x *entries) call(e *site.Entry) (int, error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+e.CallerAddress.String()+"/cups/order", strings.NewReader("order"))
	if err != nil {
		return 0, err
	}
	r.Close = true
	a, err := (&http.Client{Timeout: hangLimit}).Do(r)
	if err != nil {
		return 0, nil
	}
	defer a.Body.Close()
	_, err = io.Copy(io.Discard, a.Body)
	return a.StatusCode, err
}

func unfinishedRequest(line, fields string, size int) crowd.Client {
	head := []byte(fmt.Sprintf("%s HTTP/1.1\r\nHost: entry\r\n%sContent-Length: %d\r\n\r\n", line, fields, size))
	body := bytes.Repeat([]byte(" "), size-1)
	return crowd.Client{Pieces: func(int, int) [][]byte { return [][]byte{head, body} }}
}

// deadline makes the entry wait for longer than the crowd stays.
const deadline = "Tarragon-Deadline-Ms: 60000\r\n"

// Guards against the memory of bodies of which the last byte is missing.
func TestUnfinishedBodiesExceedMemoryOfEntry(t *testing.T) {
	x := startEntries(t)
	x.withstands(t, x.site.Entries[0].CallerAddress, 400, unfinishedRequest("POST /cups/order", deadline, mebibyte))
}

// Guards against the memory of unfinished bodies in one large chunk.
func TestUnfinishedChunksExceedMemoryOfEntry(t *testing.T) {
	x := startEntries(t)
	head := []byte("POST /cups/order HTTP/1.1\r\nHost: entry\r\n" + deadline + "Transfer-Encoding: chunked\r\n\r\n100000\r\n")
	body := bytes.Repeat([]byte(" "), mebibyte)
	x.withstands(t, x.site.Entries[0].CallerAddress, 400, crowd.Client{Pieces: func(int, int) [][]byte { return [][]byte{head, body} }})
}

// Guards against the memory of many header fields in a header within the limit.
func TestManyHeaderFieldsExceedMemoryOfEntry(t *testing.T) {
	x := startEntries(t)
	var b bytes.Buffer
	for i := 0; b.Len() < 60<<10; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	x.withstands(t, x.site.Entries[0].CallerAddress, 800, crowd.Client{Pieces: func(int, int) [][]byte {
		return [][]byte{[]byte("POST /cups/order HTTP/1.1\r\nHost: entry\r\n"), b.Bytes()}
	}})
}

// Guards against the memory of bodies far over the limit.
func TestOversizedBodiesExceedMemoryOfEntry(t *testing.T) {
	x := startEntries(t)
	c := unfinishedRequest("POST /cups/order", deadline, 4*mebibyte)
	c.Reconnects = true
	x.withstands(t, x.site.Entries[0].CallerAddress, 800, c)
}

// Guards against the memory of unfinished bodies on the operators' side.
func TestUnfinishedBodiesExceedMemoryOfOperators(t *testing.T) {
	x := startEntries(t)
	head := "Authorization: Bearer " + site.Token + "\r\n"
	x.withstands(t, x.site.Entries[0].OperatorAddress, 80, quoted(unfinishedRequest("POST /v1/config", head, 8*mebibyte)))
}

// quoted turns the body of a client into the beginning of a JSON string.
func quoted(c crowd.Client) crowd.Client {
	l := c.Pieces(0, 0)
	body := append([]byte(`{"rules":"`), l[1][10:]...)
	return crowd.Client{Pieces: func(int, int) [][]byte { return [][]byte{l[0], body} }}
}

// Guards against the memory of messages between entries that are announced and not sent to their end.
func TestUnfinishedMessagesExceedMemoryOfEntry(t *testing.T) {
	x := startEntries(t)
	x.withstands(t, x.site.Entries[0].PeerListenAddress, 150, unfinishedMessage())
}

// Guards against connections without a request that take the descriptors which the entry needs for its own connections.
func TestSilentClientsExceedDescriptorsOfEntry(t *testing.T) {
	x := startEntries(t, "descriptorLimit = 400")
	e := x.site.Entries[0]
	for _, a := range []netip.AddrPort{e.CallerAddress, e.OperatorAddress, e.PeerListenAddress} {
		p := x.withstands(t, a, 600, crowd.Client{Pieces: func(int, int) [][]byte { return nil }})
		x.Expect(p.Descriptors).To(gomega.BeNumerically("<=", 400), "descriptors")
	}
}
