package forecast

import (
	"maps"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/tarragonbank/tarragonbank/fleet/schema"
)

const (
	partLength = 30 * time.Minute
	day        = 24 * time.Hour
	parts      = int(day / partLength)
	// forgets is the part of the old value that a new day's replaces where it is lower.
	forgets = 0.3
)

// pool is the highest demand of each part of the day, in slots.
type pool struct {
	values  [parts]float64
	current int
	highest float64
}

// Profile is what each pool is asked for at each time of the day.
type Profile struct {
	pools map[string]*pool
}

// New makes an empty profile, which expects nothing.
func New() *Profile {
	return &Profile{pools: map[string]*pool{}}
}

func part(t time.Time) int {
	return int(t.UTC().Sub(t.UTC().Truncate(day)) / partLength)
}

// Observe learns the demand of a pool in slots.
func (p *Profile) Observe(now time.Time, name string, slots int) {
	x := p.pools[name]
	i := part(now)
	if x == nil {
		x = &pool{current: i}
		p.pools[name] = x
	}
	if i != x.current {
		x.close()
		x.current = i
		x.highest = 0
	}
	x.highest = max(x.highest, float64(slots))
}

// close takes the highest demand of the part that ended: at once where it is higher than before, else by and by.
func (x *pool) close() {
	old := x.values[x.current]
	if x.highest >= old {
		x.values[x.current] = x.highest
		return
	}
	x.values[x.current] = old + forgets*(x.highest-old)
}

// PeakDemand is the highest demand expected of a pool between now and the time ahead, in slots.
func (p *Profile) PeakDemand(now time.Time, name string, ahead time.Duration) int {
	x := p.pools[name]
	if x == nil {
		return 0
	}
	v := 0.0
	for d := time.Duration(0); d <= ahead; d += partLength {
		v = max(v, x.values[part(now.Add(d))])
	}
	return int(v + 0.5)
}

// Marshal encodes the profile.
func (p *Profile) Marshal() ([]byte, error) {
	m := &schema.DemandProfile{}
	for _, n := range slices.Sorted(maps.Keys(p.pools)) {
		x := &schema.PoolProfile{Pool: n}
		for _, v := range p.pools[n].values {
			x.Parts = append(x.Parts, uint32(v+0.5))
		}
		m.Pools = append(m.Pools, x)
	}
	b, err := proto.Marshal(m)
	return b, trace.Wrap(err, "encoding the demand profile")
}

// Unmarshal takes what another controller has learned.
func (p *Profile) Unmarshal(b []byte) error {
	m := &schema.DemandProfile{}
	if err := proto.Unmarshal(b, m); err != nil {
		return trace.Wrap(err, "reading the demand profile")
	}
	for _, x := range m.Pools {
		y := &pool{}
		for i, v := range x.Parts {
			if i < parts {
				y.values[i] = float64(v)
			}
		}
		p.pools[x.Pool] = y
	}
	return nil
}
