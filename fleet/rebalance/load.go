package rebalance

import "time"

const (
	// loadWindow is the time over which the demand of a pool is remembered.
	loadWindow = time.Minute
	// decisionTime is the time from the need for a VM to the order for its move, and from its start to its first task.
	decisionTime = 500 * time.Millisecond
	// vmValue is what a fully used VM earns, as a multiple of what it costs: it pays for itself once a fifteenth of it is used.
	vmValue = 15
	// priorPeakTime, priorUse and priorTime describe the load that is assumed before any is known: peaks of some seconds at
	// four times the mean. They count like an observation of priorTime with one peak.
	priorPeakTime = 5 * time.Second
	priorUse      = 0.25
	priorTime     = 20 * time.Second
	// A peak begins when the demand reaches peakBegin of the highest one, and ends when it falls below peakEnd of it. The
	// distance keeps random variation from splitting a peak.
	peakBegin = 0.5
	peakEnd   = 0.25
)

// Load is the demand of a pool over the last minute.
type Load struct {
	// size is the number of cores that operators gave the pool.
	size    float64
	samples []sample
}

type sample struct {
	at    time.Time
	cores float64
}

// NewLoad returns the load of a pool to which operators gave VMs with the given number of cores. This size counts as its demand
// of now.
func NewLoad(cores float64, now time.Time) *Load {
	return &Load{size: cores, samples: []sample{{now, cores}}}
}

// Observe adds the present demand in cores.
func (l *Load) Observe(cores float64, now time.Time) {
	l.samples = append(l.samples, sample{now, cores})
	for now.Sub(l.samples[0].at) > loadWindow {
		l.samples = l.samples[1:]
	}
}

// HeldCores returns the number of cores that the pool should keep although its work may not request them now: those for its
// highest demand within its size, or 0 if it should follow its demand. moveTime is how long a VM takes to move to a pool, slack is how long the pool's jobs can wait and still finish on time.
//
// A pool that follows its demand loses the work that cannot wait until the VMs arrive, which is a share of each peak. A pool
// that holds its VMs pays for them between the peaks.
func (l *Load) HeldCores(y Policy, moveTime, slack time.Duration) float64 {
	late := moveTime + decisionTime - slack
	if late <= 0 {
		return 0
	}
	peakTime, use := l.shape()
	if lost := min(late.Seconds()/peakTime.Seconds(), 1); lost <= (1/use-1)/vmValue {
		return 0
	}
	return min(RequiredCores(y, l.peak()), l.size)
}

// peak returns the highest demand in cores.
func (l *Load) peak() float64 {
	peak := 0.0
	for _, s := range l.samples {
		peak = max(peak, s.cores)
	}
	return peak
}

// shape returns the mean length of the peaks, and the mean demand as a share of the highest one.
func (l *Load) shape() (peakTime time.Duration, use float64) {
	peak := l.peak()
	high, peaks, inPeak := priorPeakTime, 1, false
	sum, total := priorUse*priorTime.Seconds(), priorTime.Seconds()
	for i := 1; i < len(l.samples); i++ {
		s, d := l.samples[i], l.samples[i].at.Sub(l.samples[i-1].at)
		if peak > 0 {
			sum += s.cores / peak * d.Seconds()
			total += d.Seconds()
		}
		switch {
		case !inPeak && s.cores >= peakBegin*peak && peak > 0:
			inPeak = true
			peaks++
		case inPeak && s.cores < peakEnd*peak:
			inPeak = false
		}
		if inPeak {
			high += d
		}
	}
	return high / time.Duration(peaks), sum / total
}
