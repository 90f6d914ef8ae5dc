package overload

import (
	"math"
	"time"
)

const (
	// forgetTime is the time after which a sample counts for 1/e: long enough for calm and busy times to be among the samples.
	forgetTime = 20 * time.Second
	// minWeight is the weight of samples from which their line is used, minSpread the standard deviation of their rates.
	minWeight = 10
	minSpread = 30.0
	// targetShare is the share of the cores that may be used up.
	targetShare = 0.9
	// busyShare is the share from which the process counts as nearly out of processor, spareShare the one below which it no longer does,
	// shareWeight the weight of a new sample in the mean.
	busyShare   = 0.8
	spareShare  = 0.6
	shareWeight = 0.4
)

// Throughput learns how many units of work a second a process with a share of a core can do, from the processor time that it has
// used and the work that it has done: a line through the samples, whose height at no work is what the process needs for all else.
// The zero value knows nothing.
type Throughput struct {
	cores float64
	share float64
	busy  bool

	weight, rates, used, ratesSquared, product float64
}

// NewThroughput returns a Throughput for a process with the cores.
func NewThroughput(cores float64) Throughput {
	return Throughput{cores: cores}
}

// Observe records that the process has used processor time for units of work in the time d.
func (t *Throughput) Observe(used time.Duration, units int64, d time.Duration) {
	if d <= 0 || t.cores <= 0 {
		return
	}
	x, y := float64(units)/d.Seconds(), used.Seconds()/d.Seconds()
	f := math.Exp(-d.Seconds() / forgetTime.Seconds())
	t.weight = t.weight*f + 1
	t.rates, t.used = t.rates*f+x, t.used*f+y
	t.ratesSquared, t.product = t.ratesSquared*f+x*x, t.product*f+x*y
	t.share += shareWeight * (y/t.cores - t.share)
	switch {
	case t.share >= busyShare:
		t.busy = true
	case t.share < spareShare:
		t.busy = false
	}
}

// Busy reports whether the process has lately been nearly out of processor.
func (t *Throughput) Busy() bool {
	return t.busy
}

// Rate returns the units of work a second that the process can do, 0 while that is not known.
func (t *Throughput) Rate() float64 {
	variance := t.weight*t.ratesSquared - t.rates*t.rates
	if t.weight < minWeight || variance <= t.weight*t.weight*minSpread*minSpread {
		return 0
	}
	perUnit := (t.weight*t.product - t.rates*t.used) / variance
	fixed := max((t.used-perUnit*t.rates)/t.weight, 0)
	if perUnit <= 0 || fixed >= targetShare*t.cores {
		return 0
	}
	return (targetShare*t.cores - fixed) / perUnit
}
