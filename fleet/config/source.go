package config

import (
	"fmt"
	"net/netip"
	"strconv"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/tarragonbank/tarragonbank/fleet/document"
	"github.com/tarragonbank/tarragonbank/fleet/maintenance"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/service"
)

// Source is the inventory and the rules as operators wrote them.
type Source struct {
	Inventory *schema.Inventory
	Rules     *schema.Rules
}

// ParseSource reads and checks both documents; it fails with the types of package document.
func ParseSource(inventoryFile string, inventory []byte, rulesFile string, rules []byte) (Source, error) {
	s := Source{Inventory: &schema.Inventory{}, Rules: &schema.Rules{}}
	i, err := document.Decode(inventoryFile, inventory, s.Inventory)
	if err != nil {
		return Source{}, trace.Wrap(err)
	}
	r, err := document.Decode(rulesFile, rules, s.Rules)
	if err != nil {
		return Source{}, trace.Wrap(err)
	}
	c := checker{pools: map[string]bool{}, sizes: map[string]int{}}
	c.checkPools(r, s.Rules)
	c.checkServices(r, s.Rules)
	c.checkTeams(r, s.Rules)
	c.checkVMs(i, s.Inventory)
	c.checkBudgets(r, s.Rules)
	c.checkMaintenance(r, s.Rules.Maintenance)
	c.checkDrain(r, s.Rules)
	return s, trace.Wrap(c.err)
}

// checker keeps the first failure.
type checker struct {
	pools map[string]bool
	sizes map[string]int
	err   error
}

func (c *checker) expect(ok bool, d *document.Document, key, expected, found string) {
	if !ok && c.err == nil {
		c.err = d.NewRangeError(key, expected, found)
	}
}

func (c *checker) checkPools(d *document.Document, r *schema.Rules) {
	for i, p := range r.Pools {
		k := fmt.Sprintf("pools[%d].", i)
		c.expect(p.Name != "", d, k+"name", "a name", p.Name)
		c.expect(!c.pools[p.Name], d, k+"name", "a name used once", p.Name)
		c.expect(p.MaxDown >= 0, d, k+"maxDown", "0 or more", strconv.Itoa(int(p.MaxDown)))
		c.expect(p.MaxDownShare >= 0 && p.MaxDownShare < 1, d, k+"maxDownShare", "0 to less than 1", number(p.MaxDownShare))
		c.expect(p.MaxDownPerDataCentre >= 0, d, k+"maxDownPerDataCentre", "0 or more", strconv.Itoa(int(p.MaxDownPerDataCentre)))
		c.expect(p.MaxDownPerRack >= 0, d, k+"maxDownPerRack", "0 or more", strconv.Itoa(int(p.MaxDownPerRack)))
		c.pools[p.Name] = true
	}
}

func (c *checker) checkServices(d *document.Document, r *schema.Rules) {
	names := map[string]bool{}
	shares := map[string]float64{}
	for i, s := range r.Services {
		k := fmt.Sprintf("services[%d].", i)
		c.expect(s.Name != "", d, k+"name", "a name", s.Name)
		c.expect(!names[s.Name], d, k+"name", "a name used once", s.Name)
		c.expect(s.Host != "" || s.Prefix != "", d, k+"prefix", "a path prefix or a host", s.Prefix)
		c.expect(s.Prefix == "" || s.Prefix[0] == '/', d, k+"prefix", "a path that begins with /", s.Prefix)
		c.expect(c.pools[s.Pool], d, k+"pool", "a pool of the rules", s.Pool)
		c.expect(share(s.ReservedShare), d, k+"reservedShare", "0 to 1", number(s.ReservedShare))
		c.expect(s.Timeout == nil || s.Timeout.AsDuration() > 0, d, k+"timeout", "a duration above 0s", s.Timeout.AsDuration().String())
		c.expect(s.ExpectedTime == nil || s.ExpectedTime.AsDuration() > 0, d, k+"expectedTime", "a duration above 0s", s.ExpectedTime.AsDuration().String())
		shares[s.Pool] += s.ReservedShare
		c.expect(share(shares[s.Pool]), d, k+"reservedShare", "at most 1 for all services of the pool", number(shares[s.Pool]))
		names[s.Name] = true
	}
}

func (c *checker) checkTeams(d *document.Document, r *schema.Rules) {
	names := map[string]bool{}
	sum := 0.0
	for i, t := range r.Teams {
		k := fmt.Sprintf("teams[%d].", i)
		c.expect(t.Name != "", d, k+"name", "a name", t.Name)
		c.expect(!names[t.Name], d, k+"name", "a name used once", t.Name)
		c.expect(share(t.Quota), d, k+"quota", "0 to 1", number(t.Quota))
		sum += t.Quota
		c.expect(share(sum), d, k+"quota", "at most 1 for all teams", number(sum))
		names[t.Name] = true
	}
}

func (c *checker) checkVMs(d *document.Document, v *schema.Inventory) {
	names := map[string]bool{}
	addresses := map[netip.AddrPort]bool{}
	for i, m := range v.Vms {
		k := fmt.Sprintf("vms[%d].", i)
		a, err := netip.ParseAddrPort(m.Address)
		c.expect(m.Name != "", d, k+"name", "a name", m.Name)
		c.expect(!names[m.Name], d, k+"name", "a name used once", m.Name)
		c.expect(m.DataCentre != "", d, k+"dataCentre", "a data centre", m.DataCentre)
		c.expect(m.Rack != "", d, k+"rack", "a rack", m.Rack)
		c.expect(err == nil, d, k+"address", "an IP address and port", m.Address)
		c.expect(!addresses[a], d, k+"address", "an address used once", m.Address)
		c.expect(c.pools[m.Pool], d, k+"pool", "a pool of the rules", m.Pool)
		c.expect(m.Slots > 0, d, k+"slots", "1 or more", strconv.Itoa(int(m.Slots)))
		c.expect(m.Connections >= m.Slots, d, k+"connections", "at least the slots", strconv.Itoa(int(m.Connections)))
		c.expect(m.Processors >= 0, d, k+"processors", "0 or more", strconv.Itoa(int(m.Processors)))
		c.expect(m.MemoryGb >= 0, d, k+"memoryGb", "0 or more", strconv.FormatInt(m.MemoryGb, 10))
		c.expect(m.Accelerators >= 0, d, k+"accelerators", "0 or more", strconv.Itoa(int(m.Accelerators)))
		names[m.Name] = true
		addresses[a] = true
		c.sizes[m.Pool]++
	}
}

func (c *checker) checkBudgets(d *document.Document, r *schema.Rules) {
	for i, p := range r.Pools {
		ok := c.sizes[p.Name] == 0 || int(p.MaxDown) < c.sizes[p.Name]
		c.expect(ok, d, fmt.Sprintf("pools[%d].maxDown", i), "less than the pool's VMs", strconv.Itoa(int(p.MaxDown)))
	}
}

func (c *checker) checkMaintenance(d *document.Document, m *schema.Maintenance) {
	if m == nil {
		return
	}
	for k, v := range map[string]*durationpb.Duration{
		"period": m.Period, "drain": m.Drain, "rebootLimit": m.RebootLimit, "halt": m.Halt, "stay": m.Stay, "demandMemory": m.DemandMemory,
	} {
		c.expect(v == nil || v.AsDuration() > 0, d, "maintenance."+k, "a duration above 0s", v.AsDuration().String())
	}
	for k, v := range map[string]int32{"quietFrom": m.QuietFrom, "quietTo": m.QuietTo} {
		c.expect(v >= 0 && v < hoursOfDay, d, "maintenance."+k, "an hour from 0 to 23", strconv.Itoa(int(v)))
	}
}

// checkDrain keeps a drain from ending before the requests that were in flight at its start.
func (c *checker) checkDrain(d *document.Document, r *schema.Rules) {
	if r.Maintenance == nil {
		return
	}
	drain := maintenance.NewRules(r.Maintenance).Drain
	for _, m := range r.Services {
		t := service.New(m).Timeout
		c.expect(drain >= t, d, "maintenance.drain", "at least the timeout of service "+m.Name+", "+t.String(), drain.String())
	}
}

const hoursOfDay = 24

func share(v float64) bool {
	const tolerance = 1e-9
	return v >= 0 && v <= 1+tolerance
}

func number(v float64) string {
	return strconv.FormatFloat(v, 'g', -1, 64)
}
