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
	bucketLength  = 30 * time.Minute
	day           = 24 * time.Hour
	bucketsPerDay = int(day / bucketLength)
	// decayFactor is the weight of a new day's peak, from 0 to 1, if that peak is below the stored one.
	decayFactor = 0.3
)

// poolProfile holds the peak demand of a pool in each bucket of the day (UTC), in slots.
type poolProfile struct {
	peaks       [bucketsPerDay]float64
	current     int
	currentPeak float64
}

// Profile holds the daily demand profile of each pool.
type Profile struct {
	pools map[string]*poolProfile
}

// New creates an empty profile, which predicts no demand.
func New() *Profile {
	return &Profile{pools: map[string]*poolProfile{}}
}

// bucketOf returns the index of the bucket of the day, in UTC.
func bucketOf(t time.Time) int {
	return int(t.UTC().Sub(t.UTC().Truncate(day)) / bucketLength)
}

// Observe records the current demand of a pool, in slots.
func (p *Profile) Observe(now time.Time, name string, slots int) {
	x := p.pools[name]
	i := bucketOf(now)
	if x == nil {
		x = &poolProfile{current: i}
		p.pools[name] = x
	}
	if i != x.current {
		x.closeBucket()
		x.current = i
		x.currentPeak = 0
	}
	x.currentPeak = max(x.currentPeak, float64(slots))
}

// closeBucket stores the peak of the bucket that ended: in full if it is higher than the stored one, otherwise
// smoothed by decayFactor.
func (x *poolProfile) closeBucket() {
	old := x.peaks[x.current]
	if x.currentPeak >= old {
		x.peaks[x.current] = x.currentPeak
		return
	}
	x.peaks[x.current] = old + decayFactor*(x.currentPeak-old)
}

// PeakDemand returns the highest predicted demand of a pool from now until now+ahead, in slots; 0 if it is unknown.
func (p *Profile) PeakDemand(now time.Time, name string, ahead time.Duration) int {
	x := p.pools[name]
	if x == nil {
		return 0
	}
	v := 0.0
	for d := time.Duration(0); d <= ahead; d += bucketLength {
		v = max(v, x.peaks[bucketOf(now.Add(d))])
	}
	return int(v + 0.5)
}

// Marshal encodes the profile as a schema.DemandProfile.
func (p *Profile) Marshal() ([]byte, error) {
	m := &schema.DemandProfile{}
	for _, n := range slices.Sorted(maps.Keys(p.pools)) {
		x := &schema.PoolProfile{Pool: n}
		for _, v := range p.pools[n].peaks {
			x.Parts = append(x.Parts, uint32(v+0.5))
		}
		m.Pools = append(m.Pools, x)
	}
	b, err := proto.Marshal(m)
	return b, trace.Wrap(err, "encoding the demand profile")
}

// Unmarshal replaces the profiles of the pools that another controller has encoded.
func (p *Profile) Unmarshal(b []byte) error {
	m := &schema.DemandProfile{}
	if err := proto.Unmarshal(b, m); err != nil {
		return trace.Wrap(err, "reading the demand profile")
	}
	for _, x := range m.Pools {
		y := &poolProfile{}
		for i, v := range x.Parts {
			if i < bucketsPerDay {
				y.peaks[i] = float64(v)
			}
		}
		p.pools[x.Pool] = y
	}
	return nil
}
