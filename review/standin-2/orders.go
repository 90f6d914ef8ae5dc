package main

import (
	"fmt"
	"time"
)

// playOrders: the platform's answers about machines take 50 times as long for 5 s, in which a machine is due for upkeep and at whose end
// the entry that gives the orders gets SIGTERM. Judges ONE: two holders give orders for one machine within the lease.
func playOrders(s *site, trouble bool) (bool, error) {
	for i := range 4 {
		s.addMachine(fmt.Sprintf("m-cups-%d", i+1), pool, "njiro", "r1-1")
	}
	for i := range 2 {
		s.addMachine(fmt.Sprintf("m-ledger-%d", i+1), standbyPool, "njiro", "r1-2")
	}
	if err := s.start(3); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	if trouble {
		s.setSlow(50)
	}
	time.Sleep(200 * time.Millisecond)
	s.record.add("operator: wave 1 is due: m-ledger-1")
	s.store.set("op/wave/1", map[string]any{"wave": 1, "machines": []string{"m-ledger-1"}, "deadline-s": 20, "cap": 1})
	time.Sleep(4500 * time.Millisecond)
	e := s.owner()
	if e == nil {
		return false, fmt.Errorf("no order for a machine was seen")
	}
	s.terminate(e)
	time.Sleep(300 * time.Millisecond)
	s.setSlow(1)
	time.Sleep(10 * time.Second)
	s.lock.Lock()
	defer s.lock.Unlock()
	last := map[string]vmOrder{}
	violated := false
	for _, o := range s.vmOrders {
		if p, ok := last[o.machine]; ok && p.holder != o.holder && o.at.Sub(p.at) < orderLease {
			violated = true
			s.record.add("ONE: %s gives an order for %s %.3f s after %s did, the lease is %v", o.holder, o.machine, o.at.Sub(p.at).Seconds(), p.holder, orderLease)
		}
		last[o.machine] = o
	}
	return violated, nil
}
