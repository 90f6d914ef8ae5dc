package backend

import "sync"

// Ledger counts what ran on all servers of a site.
type Ledger struct {
	lock     sync.Mutex
	requests map[string]int
	keys     map[string]int
	runs     int
	busy     float64
	wasted   float64
}

// NewLedger makes an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{requests: map[string]int{}, keys: map[string]int{}}
}

func (l *Ledger) run(id, key string) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.runs++
	l.requests[id]++
	if key != "" {
		l.keys[key]++
	}
}

func (l *Ledger) spend(seconds float64, wasted bool) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.busy += seconds
	if wasted {
		l.wasted += seconds
	}
}

// Ran says how often the request began to run.
func (l *Ledger) Ran(id string) int {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.requests[id]
}

// Doubled lists the keys that ran more than once.
func (l *Ledger) Doubled() []string {
	l.lock.Lock()
	defer l.lock.Unlock()
	r := []string{}
	for k, n := range l.keys {
		if n > 1 {
			r = append(r, k)
		}
	}
	return r
}

// Keys is how many different keys ran.
func (l *Ledger) Keys() int {
	l.lock.Lock()
	defer l.lock.Unlock()
	return len(l.keys)
}

// Runs is how many requests began to run.
func (l *Ledger) Runs() int {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.runs
}

// Busy is the slots' time spent, and the part of it on answers that came too late, in seconds.
func (l *Ledger) Busy() (spent, wasted float64) {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.busy, l.wasted
}
