package process_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"

	"github.com/tarragonbank/tarragonbank/bench/process"
)

// Guards against soaks that pass although a program has reported a data race.
func TestReportOfTheRaceDetectorIsFound(t *testing.T) {
	g := gomega.NewWithT(t)
	log := filepath.Join(t.TempDir(), "log")
	p := process.New("e", "true", log)
	_, err := p.HasReportedRace()
	g.Expect(err).To(gomega.HaveOccurred())
	for text, found := range map[string]bool{"all is well": false, "==================\nWARNING: DATA RACE\nRead at 0x00c0000b4010 by goroutine 8:": true} {
		g.Expect(os.WriteFile(log, []byte(text), 0o600)).To(gomega.Succeed())
		g.Expect(p.HasReportedRace()).To(gomega.Equal(found))
	}
}
