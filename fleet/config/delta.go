package config

import (
	"sort"

	"github.com/gravitational/trace"

	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

// Delta is the newer head as a change of the older one.
func Delta(old, h *schema.Head) *schema.HeadReply {
	x := refMap(old)
	y := refMap(h)
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

// ApplyDelta is the head of a reply, completed from the snapshot that it is a change of.
// It fails with a CorruptError where the reply is a change of something else.
func (s *Snapshot) ApplyDelta(p *schema.HeadReply) (*schema.Head, error) {
	if p.Since == 0 || p.Head == nil {
		return p.Head, nil
	}
	if p.Since != s.Revision() {
		return nil, trace.Wrap(&CorruptError{Name: "head", Detail: "it is a change of another revision"})
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
