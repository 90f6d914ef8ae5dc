package config

import (
	"sort"

	"github.com/gravitational/trace"

	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

// Delta returns the difference between two heads: the sections of h that are new or changed since old, and the names
// of the removed ones.
func Delta(old, h *schema.Head) *schema.HeadReply {
	x := digestsByName(old)
	y := digestsByName(h)
	d := &schema.Head{
		Revision:       h.Revision,
		Mark:           h.Mark,
		Previous:       h.Previous,
		AcceptedUnixMs: h.AcceptedUnixMs,
		Author:         h.Author,
		Note:           h.Note,
	}
	for _, r := range h.Sections {
		if x[r.Name] != y[r.Name] {
			d.Sections = append(d.Sections, r)
		}
	}
	p := &schema.HeadReply{Head: d, Since: old.Revision}
	for _, r := range old.Sections {
		if _, ok := y[r.Name]; !ok {
			p.Removed = append(p.Removed, r.Name)
		}
	}
	return p
}

// ApplyDelta returns the complete head of a reply. If the reply is a delta, the unchanged sections are taken from the
// snapshot. It fails with a CorruptError if the delta is based on another revision than the snapshot's. It modifies the
// head of the reply.
func (s *Snapshot) ApplyDelta(p *schema.HeadReply) (*schema.Head, error) {
	if p.Since == 0 || p.Head == nil {
		return p.Head, nil
	}
	if p.Since != s.Revision() {
		return nil, trace.Wrap(&CorruptError{Name: "head", Detail: "the delta is based on a different revision"})
	}
	m := map[string]*schema.SectionRef{}
	for _, r := range s.Head.Sections {
		m[r.Name] = r
	}
	for _, n := range p.Removed {
		delete(m, n)
	}
	for _, r := range p.Head.Sections {
		m[r.Name] = r
	}
	h := p.Head
	h.Sections = make([]*schema.SectionRef, 0, len(m))
	for _, r := range m {
		h.Sections = append(h.Sections, r)
	}
	sort.Slice(h.Sections, func(i, j int) bool { return h.Sections[i].Name < h.Sections[j].Name })
	return h, nil
}
