package backend

import "sync"

// Recorder counts what ran on all servers of a site.
type Recorder struct {
	lock     sync.Mutex
	requests map[string]int
	keys     map[string]int
	runs     int
	busy     float64
	wasted   float64
}

// NewRecorder makes an empty ledger.
func NewRecorder() *Recorder {
	return &Recorder{requests: map[string]int{}, keys: map[string]int{}}
}

func (l *Recorder) run(id, key string) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.runs++
	l.requests[id]++
	if key != "" {
		l.keys[key]++
	}
}

func (l *Recorder) spend(seconds float64, wasted bool) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.busy += seconds
	if wasted {
		l.wasted += seconds
	}
}

// Executions says how often the request began to run.
func (l *Recorder) Executions(id string) int {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.requests[id]
}

// DuplicateKeys lists the keys that ran more than once.
func (l *Recorder) DuplicateKeys() []string {
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

// KeyCount is how many different keys ran.
func (l *Recorder) KeyCount() int {
	l.lock.Lock()
	defer l.lock.Unlock()
	return len(l.keys)
}

// ExecutionCount is how many requests began to run.
func (l *Recorder) ExecutionCount() int {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.runs
}

// BusySeconds is the slots' time spent, and the part of it on answers that came too late, in seconds.
func (l *Recorder) BusySeconds() (spent, wasted float64) {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.busy, l.wasted
}
