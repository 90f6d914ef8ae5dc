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

// Source holds the inventory and the rules from the operators' documents.
type Source struct {
	Inventory *schema.Inventory
	Rules     *schema.Rules
}

// ParseSource parses and validates both documents. It fails with the error types of package document.
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
	c := checker{pools: map[string]bool{}, vmCounts: map[string]int{}}
	c.checkPools(r, s.Rules)
	c.checkServices(r, s.Rules)
	c.checkTeams(r, s.Rules)
	c.checkVMs(i, s.Inventory)
	c.checkBudgets(r, s.Rules)
	c.checkMaintenance(r, s.Rules.Maintenance)
	c.checkDrain(r, s.Rules)
	return s, trace.Wrap(c.err)
}

// checker validates a source and keeps the first error.
type checker struct {
	pools    map[string]bool
	vmCounts map[string]int
	err      error
}

func (c *checker) require(ok bool, d *document.Document, key, expected, found string) {
	if !ok && c.err == nil {
		c.err = d.NewRangeError(key, expected, found)
	}
}

func (c *checker) checkPools(d *document.Document, r *schema.Rules) {
	for i, p := range r.Pools {
		k := fmt.Sprintf("pools[%d].", i)
		c.require(p.Name != "", d, k+"name", "a name", p.Name)
		c.require(!c.pools[p.Name], d, k+"name", "a unique name", p.Name)
		c.require(p.MaxDown >= 0, d, k+"maxDown", "0 or more", strconv.Itoa(int(p.MaxDown)))
		c.require(p.MaxDownShare >= 0 && p.MaxDownShare < 1, d, k+"maxDownShare", "0 to less than 1", formatNumber(p.MaxDownShare))
		c.require(p.MaxDownPerDataCentre >= 0, d, k+"maxDownPerDataCentre", "0 or more", strconv.Itoa(int(p.MaxDownPerDataCentre)))
		c.require(p.MaxDownPerRack >= 0, d, k+"maxDownPerRack", "0 or more", strconv.Itoa(int(p.MaxDownPerRack)))
		c.pools[p.Name] = true
	}
}

func (c *checker) checkServices(d *document.Document, r *schema.Rules) {
	names := map[string]bool{}
	shares := map[string]float64{}
	for i, s := range r.Services {
		k := fmt.Sprintf("services[%d].", i)
		c.require(s.Name != "", d, k+"name", "a name", s.Name)
		c.require(!names[s.Name], d, k+"name", "a unique name", s.Name)
		c.require(s.Host != "" || s.Prefix != "", d, k+"prefix", "a path prefix or a host", s.Prefix)
		c.require(s.Prefix == "" || s.Prefix[0] == '/', d, k+"prefix", "a path that begins with /", s.Prefix)
		c.require(c.pools[s.Pool], d, k+"pool", "a pool that the rules define", s.Pool)
		c.require(isShare(s.ReservedShare), d, k+"reservedShare", "0 to 1", formatNumber(s.ReservedShare))
		c.require(s.Timeout == nil || s.Timeout.AsDuration() > 0, d, k+"timeout", "a duration above 0s", s.Timeout.AsDuration().String())
		c.require(s.ExpectedTime == nil || s.ExpectedTime.AsDuration() > 0, d, k+"expectedTime", "a duration above 0s", s.ExpectedTime.AsDuration().String())
		shares[s.Pool] += s.ReservedShare
		c.require(isShare(shares[s.Pool]), d, k+"reservedShare", "at most 1 for all services of the pool", formatNumber(shares[s.Pool]))
		names[s.Name] = true
	}
}

func (c *checker) checkTeams(d *document.Document, r *schema.Rules) {
	names := map[string]bool{}
	sum := 0.0
	for i, t := range r.Teams {
		k := fmt.Sprintf("teams[%d].", i)
		c.require(t.Name != "", d, k+"name", "a name", t.Name)
		c.require(!names[t.Name], d, k+"name", "a unique name", t.Name)
		c.require(isShare(t.Quota), d, k+"quota", "0 to 1", formatNumber(t.Quota))
		sum += t.Quota
		c.require(isShare(sum), d, k+"quota", "at most 1 for all teams", formatNumber(sum))
		names[t.Name] = true
	}
}

func (c *checker) checkVMs(d *document.Document, v *schema.Inventory) {
	names := map[string]bool{}
	addresses := map[netip.AddrPort]bool{}
	for i, m := range v.Vms {
		k := fmt.Sprintf("vms[%d].", i)
		a, err := netip.ParseAddrPort(m.Address)
		c.require(m.Name != "", d, k+"name", "a name", m.Name)
		c.require(!names[m.Name], d, k+"name", "a unique name", m.Name)
		c.require(m.DataCentre != "", d, k+"dataCentre", "a data centre", m.DataCentre)
		c.require(m.Rack != "", d, k+"rack", "a rack", m.Rack)
		c.require(err == nil, d, k+"address", "an IP address and port", m.Address)
		c.require(!addresses[a], d, k+"address", "a unique address", m.Address)
		c.require(c.pools[m.Pool], d, k+"pool", "a pool that the rules define", m.Pool)
		c.require(m.Slots > 0, d, k+"slots", "1 or more", strconv.Itoa(int(m.Slots)))
		c.require(m.Connections >= m.Slots, d, k+"connections", "at least the number of slots", strconv.Itoa(int(m.Connections)))
		c.require(m.Processors >= 0, d, k+"processors", "0 or more", strconv.Itoa(int(m.Processors)))
		c.require(m.MemoryGb >= 0, d, k+"memoryGb", "0 or more", strconv.FormatInt(m.MemoryGb, 10))
		c.require(m.Accelerators >= 0, d, k+"accelerators", "0 or more", strconv.Itoa(int(m.Accelerators)))
		names[m.Name] = true
		addresses[a] = true
		c.vmCounts[m.Pool]++
	}
}

func (c *checker) checkBudgets(d *document.Document, r *schema.Rules) {
	for i, p := range r.Pools {
		ok := c.vmCounts[p.Name] == 0 || int(p.MaxDown) < c.vmCounts[p.Name]
		c.require(ok, d, fmt.Sprintf("pools[%d].maxDown", i), "less than the number of VMs in the pool", strconv.Itoa(int(p.MaxDown)))
	}
}

func (c *checker) checkMaintenance(d *document.Document, m *schema.Maintenance) {
	if m == nil {
		return
	}
	for k, v := range map[string]*durationpb.Duration{
		"period": m.Period, "drain": m.Drain, "rebootLimit": m.RebootLimit, "halt": m.Halt, "stay": m.Stay, "demandMemory": m.DemandMemory,
	} {
		c.require(v == nil || v.AsDuration() > 0, d, "maintenance."+k, "a duration above 0s", v.AsDuration().String())
	}
	for k, v := range map[string]int32{"quietFrom": m.QuietFrom, "quietTo": m.QuietTo} {
		c.require(v >= 0 && v < hoursPerDay, d, "maintenance."+k, "an hour from 0 to 23", strconv.Itoa(int(v)))
	}
}

// checkDrain requires the drain to last at least as long as the timeout of every service, so that requests in flight
// at its start can finish.
func (c *checker) checkDrain(d *document.Document, r *schema.Rules) {
	if r.Maintenance == nil {
		return
	}
	drain := maintenance.NewRules(r.Maintenance).Drain
	for _, m := range r.Services {
		t := service.New(m).Timeout
		c.require(drain >= t, d, "maintenance.drain", "at least the timeout of service "+m.Name+", "+t.String(), drain.String())
	}
}

const hoursPerDay = 24

// isShare reports whether v is a share from 0 to 1, allowing for rounding errors in sums.
func isShare(v float64) bool {
	const tolerance = 1e-9
	return v >= 0 && v <= 1+tolerance
}

func formatNumber(v float64) string {
	return strconv.FormatFloat(v, 'g', -1, 64)
}
