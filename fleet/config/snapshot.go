package config

import (
	"sort"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/tarragonbank/tarragonbank/fleet/maintenance"
	"github.com/tarragonbank/tarragonbank/fleet/pool"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/service"
	"github.com/tarragonbank/tarragonbank/fleet/team"
	"github.com/tarragonbank/tarragonbank/fleet/vm"
)

// Snapshot is one accepted configuration, whole and unchanging.
type Snapshot struct {
	Head     *schema.Head
	Encoded  map[Digest][]byte
	Pools    map[string]pool.Pool
	Services []service.Service
	Teams    map[string]team.Team
	VMs      map[string]vm.VM
	States   map[string]vm.State
	Waves    map[string]maintenance.PoolState
	Rules    maintenance.Rules
}

// Compile reads the sections that the head names; it fails with a MissingSectionError or a CorruptError.
func Compile(h *schema.Head, encoded map[Digest][]byte) (*Snapshot, error) {
	s := &Snapshot{
		Head:    h,
		Encoded: map[Digest][]byte{},
		Pools:   map[string]pool.Pool{},
		Teams:   map[string]team.Team{},
		VMs:     map[string]vm.VM{},
		States:  map[string]vm.State{},
		Waves:   map[string]maintenance.PoolState{},
		Rules:   maintenance.NewRules(nil),
	}
	pools := []*schema.Pool{}
	for _, r := range h.Sections {
		x, err := s.decode(r, encoded)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		if x.Pool != nil {
			pools = append(pools, x.Pool)
		}
		s.add(x)
	}
	s.fillPools(pools)
	sort.Slice(s.Services, func(i, j int) bool { return s.before(i, j) })
	return s, nil
}

func (s *Snapshot) decode(r *schema.SectionRef, encoded map[Digest][]byte) (*schema.Section, error) {
	d := AsDigest(r.Digest)
	b, ok := encoded[d]
	if !ok {
		return nil, &MissingSectionError{Name: r.Name, Digest: d}
	}
	if Sum(b) != d {
		return nil, &CorruptError{Name: r.Name, Detail: "the content does not have its digest"}
	}
	x := &schema.Section{}
	if err := proto.Unmarshal(b, x); err != nil {
		return nil, &CorruptError{Name: r.Name, Detail: err.Error()}
	}
	s.Encoded[d] = b
	return x, nil
}

func (s *Snapshot) add(x *schema.Section) {
	for _, m := range x.Vms {
		s.VMs[m.Name] = vm.New(m)
	}
	for _, m := range x.Services {
		s.Services = append(s.Services, service.New(m))
	}
	for _, m := range x.Teams {
		s.Teams[m.Name] = team.New(m)
	}
	for _, m := range x.VmStates {
		s.States[m.Name] = vm.NewState(m)
	}
	for _, m := range x.PoolStates {
		s.Waves[m.Name] = maintenance.NewPoolState(m)
	}
	if x.Maintenance != nil {
		s.Rules = maintenance.NewRules(x.Maintenance)
	}
}

func (s *Snapshot) fillPools(l []*schema.Pool) {
	members := map[string][]vm.VM{}
	known := map[string]bool{}
	for _, m := range l {
		known[m.Name] = true
	}
	for n, v := range s.VMs {
		if p := s.States[n].Pool; known[p] {
			v.Pool = p
			s.VMs[n] = v
		}
		members[v.Pool] = append(members[v.Pool], v)
	}
	for _, m := range l {
		v := members[m.Name]
		sort.Slice(v, func(i, j int) bool { return v[i].Name < v[j].Name })
		s.Pools[m.Name] = pool.New(m, v)
	}
}

// before orders services from the most to the least particular.
func (s *Snapshot) before(i, j int) bool {
	a, b := s.Services[i], s.Services[j]
	if (a.Host != "") != (b.Host != "") {
		return a.Host != ""
	}
	if len(a.Prefix) != len(b.Prefix) {
		return len(a.Prefix) > len(b.Prefix)
	}
	return a.Name < b.Name
}

// Revision is the revision of the configuration, 0 for none.
func (s *Snapshot) Revision() uint64 {
	if s == nil {
		return 0
	}
	return s.Head.Revision
}

// Accepted is when the configuration was accepted.
func (s *Snapshot) Accepted() time.Time {
	return time.UnixMilli(s.Head.AcceptedUnixMs)
}

// Service finds the service for a host and path.
func (s *Snapshot) Service(host, path string) (service.Service, bool) {
	for _, x := range s.Services {
		if x.Matches(host, path) {
			return x, true
		}
	}
	return service.Service{}, false
}

// Replaces says whether the head may take the place of the snapshot; it fails with a StaleError.
func (s *Snapshot) Replaces(h *schema.Head) error {
	if h.Revision <= s.Revision() {
		return trace.Wrap(&StaleError{InForce: s.Revision(), Offered: h.Revision})
	}
	return nil
}

// Missing lists the digests that the head names and neither the snapshot nor extra holds.
func (s *Snapshot) Missing(h *schema.Head, extra map[Digest][]byte) []Digest {
	l := []Digest{}
	for _, r := range h.Sections {
		d := AsDigest(r.Digest)
		if _, ok := extra[d]; ok {
			continue
		}
		if s != nil && s.Encoded[d] != nil {
			continue
		}
		l = append(l, d)
	}
	return l
}
