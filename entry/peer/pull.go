package peer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonbank/tarragonbank/entry/decision"
	"github.com/tarragonbank/tarragonbank/fleet/config"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

const (
	pullRetryDelay       = 200 * time.Millisecond
	maxDigestsPerRequest = 256
)

// pullLoop fetches newer configurations from peers until the context is done.
func (n *Node) pullLoop(ctx context.Context) {
	defer n.goroutines.Done()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.pull:
		}
		if err := n.pullOnce(); err != nil {
			time.Sleep(pullRetryDelay)
		}
	}
}

// pullOnce fetches the configuration from the peers that have a newer one, in random order, until one succeeds.
func (n *Node) pullOnce() error {
	n.lock.Lock()
	links := []*link{}
	for _, m := range n.table.WithNewerConfig(n.active.Current().Revision()) {
		if l := n.links[m.Name()]; l != nil {
			links = append(links, l)
		}
	}
	n.lock.Unlock()
	rand.Shuffle(len(links), func(i, j int) { links[i], links[j] = links[j], links[i] })
	var err error
	for _, l := range links {
		if err = n.pullFrom(l); err == nil {
			return nil
		}
	}
	return err
}

func (n *Node) pullFrom(l *link) error {
	c := n.active.Current()
	p, err := l.fetch(&schema.Envelope{Body: &schema.Envelope_HeadRequest{HeadRequest: &schema.HeadRequest{Have: c.Revision()}}})
	if err != nil {
		return err
	}
	h, err := c.ApplyDelta(p.GetHeadReply())
	if err != nil || h == nil {
		return err
	}
	s, err := n.fetchSections(l, c.Missing(h, nil))
	if err != nil {
		return err
	}
	if err := n.active.Activate(time.Now(), h, s); err != nil {
		return err
	}
	n.log.Add(decision.Record{Time: time.Now(), Kind: decision.Config, Reason: "learned from " + l.name, Revision: h.Revision})
	return nil
}

func (n *Node) fetchSections(l *link, d []config.Digest) (map[config.Digest][]byte, error) {
	r := map[config.Digest][]byte{}
	for len(d) > 0 {
		k := min(len(d), maxDigestsPerRequest)
		q := &schema.SectionRequest{}
		for _, x := range d[:k] {
			q.Digests = append(q.Digests, x[:])
		}
		p, err := l.fetch(&schema.Envelope{Body: &schema.Envelope_SectionRequest{SectionRequest: q}})
		if err != nil {
			return nil, err
		}
		got := p.GetSectionReply().GetSections()
		if len(got) == 0 {
			return nil, trace.Wrap(&config.MissingSectionError{Name: "at " + l.name, Digest: d[0]})
		}
		for _, b := range got {
			r[config.ComputeDigest(b)] = b
		}
		d = missingDigests(d, r)
	}
	return r, nil
}

func missingDigests(d []config.Digest, have map[config.Digest][]byte) []config.Digest {
	l := []config.Digest{}
	for _, x := range d {
		if _, ok := have[x]; !ok {
			l = append(l, x)
		}
	}
	return l
}
