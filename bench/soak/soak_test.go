package soak_test

import (
	"context"
	"fmt"
	"os/exec"
	"sync"
	"testing"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/bench/soak"
	"github.com/tarragonbank/tarragonbank/fleet/suite"
)

func TestSoak(t *testing.T) {
	suite.Run(t, "soak")
}

const (
	// faultDuration is the time during which faults are injected.
	faultDuration = 8 * time.Second
	limit         = 3 * time.Minute
)

// seeds returns the seeds of past failures.
func seeds() []uint64 {
	var f struct {
		Cases []struct {
			Seed  uint64
			Cause string
		}
	}
	_, err := toml.DecodeFile("testdata/seeds.toml", &f)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	l := []uint64{}
	for _, c := range f.Cases {
		gomega.Expect(c.Cause).NotTo(gomega.BeEmpty())
		l = append(l, c.Seed)
	}
	return l
}

var _ = ginkgo.It("violates no guarantee with the seeds of past failures", func() {
	binaries, out := ginkgo.GinkgoT().TempDir(), ginkgo.GinkgoT().TempDir()
	text, err := exec.Command("go", "build", "-o", binaries+"/", "../../platform/cmd/tarragonjobs").CombinedOutput()
	gomega.Expect(err).NotTo(gomega.HaveOccurred(), string(text))
	ctx, stop := context.WithTimeout(context.Background(), limit)
	defer stop()
	var work sync.WaitGroup
	var lock sync.Mutex
	found := []string{}
	for _, n := range seeds() {
		work.Add(1)
		go func() {
			defer work.Done()
			r, err := soak.Run(ctx, soak.Options{Binaries: binaries, Out: out, Seed: n, FaultDuration: faultDuration, Untimed: true})
			lock.Lock()
			defer lock.Unlock()
			if err != nil {
				found = append(found, fmt.Sprintf("seed %d: %s", n, err))
				return
			}
			for _, v := range r.Violations {
				found = append(found, fmt.Sprintf("seed %d: %s", n, v))
			}
		}()
	}
	work.Wait()
	gomega.Expect(found).To(gomega.BeEmpty())
})
