package config

import (
	"sort"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

// Names of the sections and prefixes of such names.
const (
	poolSectionPrefix  = "pool/"
	vmSectionPrefix    = "vms/"
	teamsSection       = "teams"
	maintenanceSection = "maintenance"
	poolStatesSection  = "state/waves"
	stateSectionPrefix = "state/"
)

// Sections holds the encoded sections of a configuration by name.
type Sections map[string][]byte

// Split divides a source into sections by pool and by rack, so that a small change affects few of them.
func Split(s Source) (Sections, error) {
	m := map[string]*schema.Section{}
	get := func(n string) *schema.Section {
		if m[n] == nil {
			m[n] = &schema.Section{}
		}
		return m[n]
	}
	for _, p := range s.Rules.Pools {
		get(poolSectionPrefix + p.Name).Pool = p
	}
	for _, v := range s.Rules.Services {
		x := get(poolSectionPrefix + v.Pool)
		x.Services = append(x.Services, v)
	}
	for _, v := range s.Inventory.Vms {
		x := get(vmSectionPrefix + v.DataCentre + "/" + v.Rack)
		x.Vms = append(x.Vms, v)
	}
	if len(s.Rules.Teams) > 0 {
		get(teamsSection).Teams = s.Rules.Teams
	}
	if s.Rules.Maintenance != nil {
		get(maintenanceSection).Maintenance = s.Rules.Maintenance
	}
	return encodeSections(m)
}

func encodeSections(m map[string]*schema.Section) (Sections, error) {
	r := Sections{}
	for n, x := range m {
		b, err := proto.MarshalOptions{Deterministic: true}.Marshal(x)
		if err != nil {
			return nil, trace.Wrap(err, "encoding section %s", n)
		}
		r[n] = b
	}
	return r, nil
}

// Refs returns references to the sections, sorted by name.
func (s Sections) Refs() []*schema.SectionRef {
	l := make([]*schema.SectionRef, 0, len(s))
	for n, b := range s {
		d := ComputeDigest(b)
		l = append(l, &schema.SectionRef{Name: n, Digest: d[:]})
	}
	sort.Slice(l, func(i, j int) bool { return l[i].Name < l[j].Name })
	return l
}

// ByDigest returns the encoded sections by digest.
func (s Sections) ByDigest() map[Digest][]byte {
	r := make(map[Digest][]byte, len(s))
	for _, b := range s {
		r[ComputeDigest(b)] = b
	}
	return r
}

// ChangedSections returns the sorted names of the sections that were added, changed or removed between two heads.
func ChangedSections(a, b *schema.Head) []string {
	x := digestsByName(a)
	y := digestsByName(b)
	l := []string{}
	for n, d := range y {
		if x[n] != d {
			l = append(l, n)
		}
	}
	for n := range x {
		if _, ok := y[n]; !ok {
			l = append(l, n)
		}
	}
	sort.Strings(l)
	return l
}

func digestsByName(h *schema.Head) map[string]Digest {
	r := map[string]Digest{}
	for _, s := range h.GetSections() {
		r[s.Name] = DigestFromBytes(s.Digest)
	}
	return r
}
