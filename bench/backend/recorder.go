package backend

import "sync"

// Recorder counts the requests executed by all servers of a site.
type Recorder struct {
	lock          sync.Mutex
	requests      map[string]int
	keys          map[string]int
	executions    int
	busySeconds   float64
	wastedSeconds float64
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{requests: map[string]int{}, keys: map[string]int{}}
}

func (r *Recorder) recordStart(id, key string) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.executions++
	r.requests[id]++
	if key != "" {
		r.keys[key]++
	}
}

func (r *Recorder) recordBusy(seconds float64, wasted bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.busySeconds += seconds
	if wasted {
		r.wastedSeconds += seconds
	}
}

// Executions returns how many times the request with the ID started to run.
func (r *Recorder) Executions(id string) int {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.requests[id]
}

// DuplicateKeys returns the idempotency keys that were executed more than once.
func (r *Recorder) DuplicateKeys() []string {
	r.lock.Lock()
	defer r.lock.Unlock()
	d := []string{}
	for k, n := range r.keys {
		if n > 1 {
			d = append(d, k)
		}
	}
	return d
}

// KeyCount returns the number of distinct idempotency keys that were executed.
func (r *Recorder) KeyCount() int {
	r.lock.Lock()
	defer r.lock.Unlock()
	return len(r.keys)
}

// ExecutionCount returns the number of executions started on all servers.
func (r *Recorder) ExecutionCount() int {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.executions
}

// BusySeconds returns the slot time spent, in seconds, and the part of it wasted on requests that were cancelled or
// exceeded their deadline.
func (r *Recorder) BusySeconds() (spent, wasted float64) {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.busySeconds, r.wastedSeconds
}
