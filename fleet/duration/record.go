package duration

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

const (
	// maxExported bounds the size of a record: a distribution takes some 0.3 KB.
	maxExported = 128
	// maxEncodedAtOnce bounds the time that an export takes, since the compression allocates a large buffer each time. Further
	// distributions are exported as they were encoded last.
	maxEncodedAtOnce = 8
	// maxEncodedBytes is the largest encoded histogram that is restored.
	maxEncodedBytes = 4096
)

// MalformedError describes a distribution of a record that cannot be restored.
type MalformedError struct {
	Kind   Kind
	Reason string
}

func (e *MalformedError) Error() string {
	return fmt.Sprintf("malformed distribution of durations: queue %.64q, size class %d: %s", e.Kind.Queue, e.Kind.SizeClass, e.Reason)
}

// Export returns the distributions with the most samples, for the next owner.
func (x *Distributions) Export(now time.Time) *schema.DurationRecord {
	l := []Kind{}
	for k, d := range x.byKind {
		if d.samples() >= minSamples {
			l = append(l, k)
		}
	}
	slices.SortFunc(l, func(a, b Kind) int { return cmp.Compare(x.byKind[b].unencoded, x.byKind[a].unencoded) })
	for _, k := range l[:min(len(l), maxEncodedAtOnce)] {
		x.byKind[k].encode()
	}
	l = slices.DeleteFunc(l, func(k Kind) bool { return x.byKind[k].encoded == nil })
	slices.SortFunc(l, func(a, b Kind) int {
		return cmp.Or(cmp.Compare(x.byKind[b].samples(), x.byKind[a].samples()), cmp.Compare(a.Queue, b.Queue), cmp.Compare(a.SizeClass, b.SizeClass))
	})
	m := &schema.DurationRecord{AtMs: now.UnixMilli()}
	for _, k := range l[:min(len(l), maxExported)] {
		m.Distributions = append(m.Distributions, &schema.DurationDistribution{Queue: k.Queue, SizeClass: int32(k.SizeClass), Histogram: x.byKind[k].encoded})
	}
	return m
}

func (d *distribution) encode() {
	if d.unencoded == 0 {
		return
	}
	if b, err := d.merged().Encode(hdrhistogram.V2CompressedEncodingCookieBase); err == nil {
		d.encoded, d.unencoded = b, 0
	}
}

// Restore replaces the distributions by those of a record and returns the reasons for which some were left out.
func (x *Distributions) Restore(m *schema.DurationRecord, now time.Time) []error {
	errs := []error{}
	clear(x.byKind)
	for _, n := range m.GetDistributions()[:min(len(m.GetDistributions()), maxExported)] {
		k := Kind{n.GetQueue(), int(n.GetSizeClass())}
		h, err := decode(k, n.GetHistogram())
		if err != nil {
			errs = append(errs, err)
			continue
		}
		d := newDistribution(now)
		d.previous, d.encoded = h, slices.Clone(n.GetHistogram())
		x.byKind[k] = d
	}
	return errs
}

// decode decodes a histogram that encode has made.
func decode(k Kind, b []byte) (*hdrhistogram.Histogram, error) {
	if k.SizeClass < wholeQueue || k.SizeClass > maxSizeClass {
		return nil, &MalformedError{k, "unknown size class"}
	}
	if len(b) > maxEncodedBytes {
		return nil, &MalformedError{k, "too long"}
	}
	h, err := hdrhistogram.Decode(b)
	if err != nil {
		return nil, &MalformedError{k, err.Error()}
	}
	c := newHistogram()
	if h.TotalCount() < 0 || h.TotalCount() > 2*windowSamples || c.Merge(h) > 0 {
		return nil, &MalformedError{k, "counts or values are out of range"}
	}
	return c, nil
}

// Kinds returns the kinds that have a distribution, in no particular order.
func (x *Distributions) Kinds() []Kind {
	return slices.Collect(maps.Keys(x.byKind))
}
