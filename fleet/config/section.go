package config

import (
	"sort"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

// Prefixes of the section names.
const (
	sectionPool  = "pool/"
	sectionVMs   = "vms/"
	sectionTeams = "teams"
	sectionRules = "maintenance"
	sectionWaves = "state/waves"
	sectionState = "state/"
)

// Sections are the encoded parts of a configuration by name.
type Sections map[string][]byte

// Split divides a source into sections, so that one change touches few of them.
func Split(s Source) (Sections, error) {
	m := map[string]*schema.Section{}
	get := func(n string) *schema.Section {
		if m[n] == nil {
			m[n] = &schema.Section{}
		}
		return m[n]
	}
	for _, p := range s.Rules.Pools {
		get(sectionPool + p.Name).Pool = p
	}
	for _, v := range s.Rules.Services {
		x := get(sectionPool + v.Pool)
		x.Services = append(x.Services, v)
	}
	for _, v := range s.Inventory.Vms {
		x := get(sectionVMs + v.DataCentre + "/" + v.Rack)
		x.Vms = append(x.Vms, v)
	}
	if len(s.Rules.Teams) > 0 {
		get(sectionTeams).Teams = s.Rules.Teams
	}
	if s.Rules.Maintenance != nil {
		get(sectionRules).Maintenance = s.Rules.Maintenance
	}
	return encode(m)
}

func encode(m map[string]*schema.Section) (Sections, error) {
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

// Refs names the sections by content, sorted by name.
func (s Sections) Refs() []*schema.SectionRef {
	l := make([]*schema.SectionRef, 0, len(s))
	for n, b := range s {
		d := ComputeDigest(b)
		l = append(l, &schema.SectionRef{Name: n, Digest: d[:]})
	}
	sort.Slice(l, func(i, j int) bool { return l[i].Name < l[j].Name })
	return l
}

// ByDigest returns the encoded sections by the digest of their content.
func (s Sections) ByDigest() map[Digest][]byte {
	r := make(map[Digest][]byte, len(s))
	for _, b := range s {
		r[ComputeDigest(b)] = b
	}
	return r
}

// ChangedSections lists the names that differ between two heads, sorted.
func ChangedSections(a, b *schema.Head) []string {
	x := refMap(a)
	y := refMap(b)
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

func refMap(h *schema.Head) map[string]Digest {
	r := map[string]Digest{}
	for _, s := range h.GetSections() {
		r[s.Name] = DigestFromBytes(s.Digest)
	}
	return r
}
