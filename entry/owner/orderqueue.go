package owner

import "sync"

// orderQueue runs functions that each send an order, at most limit at a time and the others later, in order. The zero value has no limit.
type orderQueue struct {
	limit int

	// lock guards the fields below.
	lock    sync.Mutex
	running int
	waiting []func()
}

// add runs f in a goroutine that spawn starts, now or once others have ended.
func (q *orderQueue) add(spawn func(func()), f func()) {
	q.lock.Lock()
	defer q.lock.Unlock()
	if q.limit > 0 && q.running >= q.limit {
		q.waiting = append(q.waiting, f)
		return
	}
	q.running++
	spawn(func() {
		for ; f != nil; f = q.next() {
			f()
		}
	})
}

// next returns a function that waits, or nil if none does, which ends the goroutine of the caller.
func (q *orderQueue) next() func() {
	q.lock.Lock()
	defer q.lock.Unlock()
	if len(q.waiting) == 0 {
		q.running--
		return nil
	}
	f := q.waiting[0]
	q.waiting[0] = nil
	q.waiting = q.waiting[1:]
	return f
}
