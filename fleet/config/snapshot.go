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

// Snapshot is one complete, immutable revision of the configuration.
type Snapshot struct {
	Head             *schema.Head
	EncodedSections  map[Digest][]byte
	Pools            map[string]pool.Pool
	Services         []service.Service
	Teams            map[string]team.Team
	VMs              map[string]vm.VM
	VMStates         map[string]vm.State
	PoolStates       map[string]maintenance.PoolState
	MaintenanceRules maintenance.Rules
}

// Compile decodes the sections that the head references. It fails with a MissingSectionError or a CorruptError.
func Compile(h *schema.Head, encoded map[Digest][]byte) (*Snapshot, error) {
	s := &Snapshot{
		Head:             h,
		EncodedSections:  map[Digest][]byte{},
		Pools:            map[string]pool.Pool{},
		Teams:            map[string]team.Team{},
		VMs:              map[string]vm.VM{},
		VMStates:         map[string]vm.State{},
		PoolStates:       map[string]maintenance.PoolState{},
		MaintenanceRules: maintenance.NewRules(nil),
	}
	pools := []*schema.Pool{}
	for _, r := range h.Sections {
		x, err := s.decodeSection(r, encoded)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		if x.Pool != nil {
			pools = append(pools, x.Pool)
		}
		s.addSection(x)
	}
	s.buildPools(pools)
	sort.Slice(s.Services, func(i, j int) bool { return s.moreSpecific(i, j) })
	return s, nil
}

func (s *Snapshot) decodeSection(r *schema.SectionRef, encoded map[Digest][]byte) (*schema.Section, error) {
	d := DigestFromBytes(r.Digest)
	b, ok := encoded[d]
	if !ok {
		return nil, &MissingSectionError{Name: r.Name, Digest: d}
	}
	if ComputeDigest(b) != d {
		return nil, &CorruptError{Name: r.Name, Detail: "the content does not match its digest"}
	}
	x := &schema.Section{}
	if err := proto.Unmarshal(b, x); err != nil {
		return nil, &CorruptError{Name: r.Name, Detail: err.Error()}
	}
	s.EncodedSections[d] = b
	return x, nil
}

func (s *Snapshot) addSection(x *schema.Section) {
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
		s.VMStates[m.Name] = vm.NewState(m)
	}
	for _, m := range x.PoolStates {
		s.PoolStates[m.Name] = maintenance.NewPoolState(m)
	}
	if x.Maintenance != nil {
		s.MaintenanceRules = maintenance.NewRules(x.Maintenance)
	}
}

func (s *Snapshot) buildPools(l []*schema.Pool) {
	vmsByPool := map[string][]vm.VM{}
	known := map[string]bool{}
	for _, m := range l {
		known[m.Name] = true
	}
	for n, v := range s.VMs {
		if p := s.VMStates[n].Pool; known[p] {
			v.Pool = p
			s.VMs[n] = v
		}
		vmsByPool[v.Pool] = append(vmsByPool[v.Pool], v)
	}
	for _, m := range l {
		v := vmsByPool[m.Name]
		sort.Slice(v, func(i, j int) bool { return v[i].Name < v[j].Name })
		s.Pools[m.Name] = pool.New(m, v)
	}
}

// moreSpecific reports whether service i is matched before service j: a service with a host precedes those without, and
// a longer prefix precedes a shorter one.
func (s *Snapshot) moreSpecific(i, j int) bool {
	a, b := s.Services[i], s.Services[j]
	if (a.Host != "") != (b.Host != "") {
		return a.Host != ""
	}
	if len(a.Prefix) != len(b.Prefix) {
		return len(a.Prefix) > len(b.Prefix)
	}
	return a.Name < b.Name
}

// Revision returns the revision of the configuration, or 0 if the snapshot is nil.
func (s *Snapshot) Revision() uint64 {
	if s == nil {
		return 0
	}
	return s.Head.Revision
}

// AcceptedAt returns the time at which the configuration was accepted.
func (s *Snapshot) AcceptedAt() time.Time {
	return time.UnixMilli(s.Head.AcceptedUnixMs)
}

// Service returns the most specific service that matches the host and path, and whether there is one.
func (s *Snapshot) Service(host, path string) (service.Service, bool) {
	for _, x := range s.Services {
		if x.Matches(host, path) {
			return x, true
		}
	}
	return service.Service{}, false
}

// CheckNewer fails with a StaleError if the head is not newer than the snapshot.
func (s *Snapshot) CheckNewer(h *schema.Head) error {
	if h.Revision <= s.Revision() {
		return trace.Wrap(&StaleError{ActiveRevision: s.Revision(), OfferedRevision: h.Revision})
	}
	return nil
}

// Missing returns the digests that the head references and neither the snapshot nor extra contains.
func (s *Snapshot) Missing(h *schema.Head, extra map[Digest][]byte) []Digest {
	l := []Digest{}
	for _, r := range h.Sections {
		d := DigestFromBytes(r.Digest)
		if _, ok := extra[d]; ok {
			continue
		}
		if s != nil && s.EncodedSections[d] != nil {
			continue
		}
		l = append(l, d)
	}
	return l
}
