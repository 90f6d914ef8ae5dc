package boottime_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/entry/boottime"
)

// A clock that ran at another rate than the monotonic one would make proofs of the configuration look younger than they are.
func TestNowCountsAtTheRateOfTheMonotonicClock(t *testing.T) {
	g := gomega.NewWithT(t)
	before, began := boottime.Now(), time.Now()
	time.Sleep(20 * time.Millisecond)
	passed, least := boottime.Now()-before, time.Since(began)
	g.Expect(passed).To(gomega.BeNumerically(">=", 20*time.Millisecond))
	g.Expect(passed).To(gomega.BeNumerically("~", least, 20*time.Millisecond))
}
