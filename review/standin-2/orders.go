package main

import (
	"fmt"
	"time"
)

// playOrders: the platform's answers about machines take 50 times as long for 5 s. Meanwhile a machine is due for upkeep, and an entry with
// more processor joins the system, to which the present holder hands over. All entries are left alone. Judges ONE: two holders in touch
// give orders for one machine within the lease.
func playOrders(s *site, trouble bool) (bool, error) {
	// The shares of a core of the smallest and the largest machines of the system.
	const small, large = 0.192, 0.8
	for i := range 4 {
		s.addMachine(fmt.Sprintf("m-cups-%d", i+1), pool, "njiro", "r1-1")
	}
	for i := range 2 {
		s.addMachine(fmt.Sprintf("m-ledger-%d", i+1), standbyPool, "njiro", "r1-2")
	}
	if err := s.startWith(2, small); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	if trouble {
		s.setSlow(50)
	}
	s.record.add("operator: wave 1 is due: m-ledger-1")
	s.store.set("op/wave/1", map[string]any{"wave": 1, "machines": []string{"m-ledger-1"}, "deadline-s": 20, "cap": 1})
	time.Sleep(300 * time.Millisecond)
	joined := time.Now()
	e, err := s.addEntry(large)
	if err != nil {
		return false, err
	}
	time.Sleep(4600 * time.Millisecond)
	s.setSlow(1)
	time.Sleep(8 * time.Second)
	s.lock.Lock()
	defer s.lock.Unlock()
	last := map[string]vmOrder{}
	violated, seen := false, false
	for _, o := range s.vmOrders {
		seen = seen || o.machine == "m-ledger-1"
		// The entry that has joined is in touch once it has run for contactTime.
		inTouch := o.holder != e.name || o.at.Sub(joined) > contactTime
		if p, ok := last[o.machine]; ok && p.holder != o.holder && o.at.Sub(p.at) < orderLease && inTouch {
			violated = true
			s.record.add("ONE: %s gives an order for %s %.3f s after %s did, the lease is %v; %s has run for %.3f s", o.holder, o.machine, o.at.Sub(p.at).Seconds(), p.holder, orderLease, e.name, o.at.Sub(joined).Seconds())
		}
		last[o.machine] = o
	}
	if !seen {
		return false, fmt.Errorf("no order for the machine was seen")
	}
	return violated, nil
}
