package boottime

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot by CLOCK_BOOTTIME. Unlike the monotonic clock of package time it counts the time for which
// the machine is suspended, and unlike the wall clock nobody can set it.
//
// If the kernel does not have the clock, Now returns the time since the first call, by the monotonic or the wall clock,
// whichever shows more. So a suspension counts unless the wall clock is set back at the same time.
func Now() time.Duration {
	return clock()()
}

// clock selects the clock once, since times of the two have different origins.
var clock = sync.OnceValue(func() func() time.Duration {
	if _, err := read(); err != nil {
		return fallback(time.Now())
	}
	return func() time.Duration {
		// A clock that could be read once can always be read.
		d, _ := read()
		return d
	}
})

func read() (time.Duration, error) {
	var t unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t)
	return time.Duration(t.Nano()), err
}

// fallback returns a clock that counts from start and never goes back.
func fallback(start time.Time) func() time.Duration {
	var lock sync.Mutex
	var last time.Duration
	return func() time.Duration {
		lock.Lock()
		defer lock.Unlock()
		now := time.Now()
		last = max(last, now.Sub(start), now.Round(0).Sub(start.Round(0)))
		return last
	}
}
