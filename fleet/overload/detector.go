package overload

import "time"

const (
	// highDelay is the mean delay from which a process is overloaded, lowDelay the one below which it no longer is. A core
	// that gets its share in slices of 100 ms delays actions by up to that.
	highDelay = 150 * time.Millisecond
	lowDelay  = 40 * time.Millisecond
	// maxSample bounds a single delay, so that a freeze of seconds counts for about a second of overload.
	maxSample = 500 * time.Millisecond
	// sampleDivisor is the reciprocal of a new sample's weight in the mean.
	sampleDivisor = 5
)

// Detector is the state of the detection. The zero value is not overloaded.
type Detector struct {
	planned    time.Time
	mean       time.Duration
	overloaded bool
}

// Observe records that an action planned every interval takes place now.
func (d *Detector) Observe(interval time.Duration, now time.Time) {
	if !d.planned.IsZero() {
		delay := min(max(now.Sub(d.planned), 0), maxSample)
		d.mean += (delay - d.mean) / sampleDivisor
	}
	d.planned = now.Add(interval)
	switch {
	case d.mean >= highDelay:
		d.overloaded = true
	case d.mean < lowDelay:
		d.overloaded = false
	}
}

// Overloaded reports whether the process is overloaded.
func (d *Detector) Overloaded() bool {
	return d.overloaded
}

// Delay returns the mean delay of the last actions.
func (d *Detector) Delay() time.Duration {
	return d.mean
}
