package config_test

import (
	"strings"
	"testing"

	"github.com/gravitational/trace"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/fleet/config"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/suite"
)

func TestConfig(t *testing.T) {
	suite.Run(t, "config")
}

const inventory = `[[vms]]
name = "cups-01"
dataCentre = "arusha-1"
rack = "r1"
address = "10.0.0.1:80"
pool = "cups"
slots = 8
connections = 64

[[vms]]
name = "cups-02"
dataCentre = "arusha-2"
rack = "r2"
address = "10.0.0.2:80"
pool = "cups"
slots = 8
connections = 64
`

const rules = `[[pools]]
name = "cups"
maxDown = 1

[[services]]
name = "cups"
prefix = "/cups/"
pool = "cups"
reservedShare = 0.6

[[services]]
name = "quotes"
prefix = "/cups/quotes/"
pool = "cups"
reservedShare = 0.4

[[teams]]
name = "benches"
quota = 0.7
`

var _ = ginkgo.DescribeTable("ParseSource rejects",
	func(old, replacement, want string) {
		i := strings.Replace(inventory, old, replacement, 1)
		r := strings.Replace(rules, old, replacement, 1)
		_, err := config.ParseSource("inventory.toml", []byte(i), "rules.toml", []byte(r))
		gomega.Expect(trace.Unwrap(err)).To(gomega.MatchError(want))
	},
	ginkgo.Entry("a duplicate VM name", `"cups-02"`, `"cups-01"`, `inventory.toml:11: vms[1].name: expected a unique name, found "cups-01"`),
	ginkgo.Entry("a duplicate address", "10.0.0.2:80", "10.0.0.1:80", `inventory.toml:14: vms[1].address: expected a unique address, found "10.0.0.1:80"`),
	ginkgo.Entry("an invalid address", "10.0.0.2:80", "cups", `inventory.toml:14: vms[1].address: expected an IP address and port, found "cups"`),
	ginkgo.Entry("a VM in an unknown pool", "pool = \"cups\"\nslots", "pool = \"cup\"\nslots", `inventory.toml:6: vms[0].pool: expected a pool that the rules define, found "cup"`),
	ginkgo.Entry("a VM without slots", "slots = 8", "slots = 0", `inventory.toml:7: vms[0].slots: expected 1 or more, found "0"`),
	ginkgo.Entry("fewer connections than slots", "connections = 64", "connections = 4", `inventory.toml:8: vms[0].connections: expected at least the number of slots, found "4"`),
	ginkgo.Entry("no rack", `rack = "r1"`, `rack = ""`, `inventory.toml:4: vms[0].rack: expected a rack, found ""`),
	ginkgo.Entry("no data centre", `"arusha-1"`, `""`, `inventory.toml:3: vms[0].dataCentre: expected a data centre, found ""`),
	ginkgo.Entry("a maxDown of all VMs in the pool", "maxDown = 1", "maxDown = 2", `rules.toml:3: pools[0].maxDown: expected less than the number of VMs in the pool, found "2"`),
	ginkgo.Entry("a negative maxDown", "maxDown = 1", "maxDown = -1", `rules.toml:3: pools[0].maxDown: expected 0 or more, found "-1"`),
	ginkgo.Entry("a service without a prefix and a host", `prefix = "/cups/"`, `prefix = ""`, `rules.toml:7: services[0].prefix: expected a path prefix or a host, found ""`),
	ginkgo.Entry("a prefix that does not begin with a slash", `prefix = "/cups/"`, `prefix = "cups"`, `rules.toml:7: services[0].prefix: expected a path that begins with /, found "cups"`),
	ginkgo.Entry("reserved shares with a sum above 1", "reservedShare = 0.4", "reservedShare = 0.5", `rules.toml:15: services[1].reservedShare: expected at most 1 for all services of the pool, found "1.1"`),
	ginkgo.Entry("a quota above 1", "quota = 0.7", "quota = 1.7", `rules.toml:19: teams[0].quota: expected 0 to 1, found "1.7"`),
	ginkgo.Entry("an hour above 23", "[[teams]]", "[maintenance]\nquietFrom = 24\n\n[[teams]]", `rules.toml:18: maintenance.quietFrom: expected an hour from 0 to 23, found "24"`),
	ginkgo.Entry("a period of 0s", "[[teams]]", "[maintenance]\nperiod = \"0s\"\n\n[[teams]]", `rules.toml:18: maintenance.period: expected a duration above 0s, found "0s"`),
	ginkgo.Entry("a drain shorter than the timeout of a service", "[[teams]]", "[maintenance]\ndrain = \"1s\"\n\n[[teams]]", `rules.toml:18: maintenance.drain: expected at least the timeout of service cups, 2s, found "1s"`),
	ginkgo.Entry("a maxDownShare of 1", "maxDown = 1", "maxDownShare = 1.0", `rules.toml:3: pools[0].maxDownShare: expected 0 to less than 1, found "1"`),
	ginkgo.Entry("a duplicate service name", `name = "quotes"`, `name = "cups"`, `rules.toml:12: services[1].name: expected a unique name, found "cups"`),
)

func head(revision uint64, s config.Sections) *schema.Head {
	return &schema.Head{Revision: revision, Sections: s.Refs()}
}

func sections(i, r string) config.Sections {
	s, err := config.ParseSource("inventory.toml", []byte(i), "rules.toml", []byte(r))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	x, err := config.Split(s)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return x
}

var _ = ginkgo.Describe("a configuration", func() {
	var s config.Sections
	var c *config.Snapshot

	ginkgo.BeforeEach(func() {
		s = sections(inventory, rules)
		var err error
		c, err = config.Compile(head(1, s), s.ByDigest())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
	})

	ginkgo.It("is compiled from its sections", func() {
		gomega.Expect([]int{len(c.VMs), len(c.Services), len(c.Teams), c.Pools["cups"].Slots()}).To(gomega.Equal([]int{2, 2, 1, 16}))
	})

	ginkgo.It("matches the most specific service", func() {
		x, _ := c.Service("", "/cups/quotes/7")
		gomega.Expect(x.Name).To(gomega.Equal("quotes"))
	})

	ginkgo.It("changes only the section of a changed VM", func() {
		n := head(2, sections(strings.Replace(inventory, "slots = 8", "slots = 7", 1), rules))
		gomega.Expect(config.ChangedSections(c.Head, n)).To(gomega.Equal([]string{"vms/arusha-1/r1"}))
	})

	ginkgo.It("applies a delta to a snapshot", func() {
		n := head(2, sections(strings.Replace(inventory, `rack = "r2"`, `rack = "r3"`, 1), rules))
		w, err := c.ApplyDelta(config.Delta(c.Head, n))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(w.Sections).To(gomega.Equal(n.Sections))
	})

	ginkgo.It("rejects a delta that is based on another revision", func() {
		_, err := c.ApplyDelta(&schema.HeadReply{Head: head(9, s), Since: 8})
		gomega.Expect(trace.Unwrap(err)).To(gomega.MatchError("head is corrupt: the delta is based on a different revision"))
	})

	ginkgo.It("rejects a section that does not match its digest", func() {
		m := s.ByDigest()
		for d := range m {
			m[d] = append([]byte{1}, m[d]...)
		}
		_, err := config.Compile(head(1, s), m)
		gomega.Expect(trace.Unwrap(err)).To(gomega.MatchError("pool/cups is corrupt: the content does not match its digest"))
	})

	ginkgo.It("rejects a head that is not newer", func() {
		gomega.Expect(trace.Unwrap(c.CheckNewer(head(1, s)))).To(gomega.MatchError("revision 1 is not newer than the active revision 1"))
	})
})
