package executor

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Candidate is an entry that could send the orders to a server.
type Candidate struct {
	Name       string
	DataCentre string
	// Cores is the number of CPU cores that the entry may use.
	Cores float64
}

const (
	// minCoresShare is the share of the largest candidate's cores that an executor needs. Entries with fewer cores are
	// needed for callers.
	minCoresShare = 0.5
	// directServersPerCore is the number of servers for each of its cores that the owner calls itself. Below that, an
	// executor would only add latency and traffic.
	directServersPerCore = 150
)

// Needed reports whether an owner with the cores needs executors for the number of servers.
func Needed(servers int, cores float64) bool {
	return float64(servers) > directServersPerCore*cores
}

// Choose returns the index of the candidate for a server, or a group of them, or -1 if there is none. It prefers the server's data centre,
// which a partition between data centres does not separate from the server. Among equals, rendezvous hashing spreads
// the servers by the candidates' cores and moves few of them when the candidates change.
func Choose(server, dataCentre string, l []Candidate) int {
	largest := 0.0
	for _, c := range l {
		largest = max(largest, c.Cores)
	}
	found, highest, near := -1, 0.0, false
	for i, c := range l {
		if c.Cores < largest*minCoresShare {
			continue
		}
		x := weight(server, c)
		same := c.DataCentre == dataCentre
		if found < 0 || same && !near || same == near && x > highest {
			found, highest, near = i, x, same
		}
	}
	return found
}

// weight returns the rendezvous weight of a candidate for a server.
func weight(server string, c Candidate) float64 {
	u := (float64(xxhash.Sum64String(server+"\x00"+c.Name)>>11) + 0.5) / (1 << 53)
	return -c.Cores / math.Log(u)
}
