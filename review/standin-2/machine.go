package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	moveTime        = 1500 * time.Millisecond
	maintenanceTime = 2 * time.Second
	restartTime     = time.Second
)

// machine is a machine of a pool. worker is its present life, nil while it has none.
type machine struct {
	name, pool, zone, rack, state string
	worker                        *worker
	// life is the life that accepts connections.
	life    atomic.Pointer[worker]
	upkeeps map[int]bool
}

func (m *machine) capacity() map[string]int {
	return map[string]int{"cpu": 64000, "mem-mb": 131072, "gpu": 0}
}

func (m *machine) labels() []string { return []string{"a", m.rack} }

// vmOrder is an order for a machine as the platform has received it.
type vmOrder struct {
	at      time.Time
	machine string
	holder  string
	token   uint64
}

func (s *site) addMachine(name, pool string, zone, rack string) *machine {
	m := &machine{name: name, pool: pool, zone: zone, rack: rack, state: "up", upkeeps: map[int]bool{}}
	s.machines[name] = m
	if pool != standbyPool {
		m.worker = s.startWorker(m, "")
	}
	return m
}

// crash crashes the worker of a machine; another life of the machine follows after restartTime.
func (s *site) crash(w *worker) {
	w.crash()
	s.lock.Lock()
	w.machine.worker, w.machine.state = nil, "down"
	s.lock.Unlock()
	time.AfterFunc(restartTime, func() { s.boot(w.machine, "") })
}

// boot starts the next life of a machine, under the given ID unless that is empty.
func (s *site) boot(m *machine, id string) {
	var w *worker
	if m.pool != standbyPool {
		w = s.startWorker(m, id)
	}
	s.lock.Lock()
	m.worker, m.state = w, "up"
	s.lock.Unlock()
}

// serveCloud serves the list of machines and the orders for them. Each answer takes the usual time, or slowFactor times that while
// the platform is slow.
func (s *site) serveCloud(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		s.pause(listLatency)
		s.listMachines(w)
		return
	}
	var q struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
		Wave    int    `json:"wave"`
	}
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	token, _ := strconv.ParseUint(r.Header.Get("Tarragonbank-Fencing-Token"), 10, 64)
	o := vmOrder{time.Now(), q.Machine, r.Header.Get("Tarragonbank-Lease-Holder"), token}
	status, reason := s.carryOutVMOrder(q.Machine, q.Pool, q.Wave)
	s.lock.Lock()
	s.vmOrders = append(s.vmOrders, o)
	s.lock.Unlock()
	s.record.add("platform: order for %s (wave %d, pool %q) by %s with token %d is carried out: %d %s", q.Machine, q.Wave, q.Pool, o.holder, token, status, reason)
	s.pause(orderLatency)
	if r.Context().Err() != nil {
		s.record.add("platform: the order for %s by %s at %.3f has found nobody waiting for its answer", q.Machine, o.holder, o.at.Sub(s.record.start).Seconds())
		return
	}
	if reason != "" {
		reply(w, status, map[string]any{"reason": reason})
		return
	}
	reply(w, status, nil)
}

func (s *site) carryOutVMOrder(name, pool string, wave int) (int, string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	m := s.machines[name]
	if m == nil {
		return http.StatusBadRequest, ""
	}
	down := maintenanceTime
	if pool != "" {
		if m.pool == pool {
			return http.StatusOK, ""
		}
		down = moveTime
	} else if m.upkeeps[wave] {
		return http.StatusOK, ""
	}
	if m.state != "up" {
		return http.StatusConflict, "busy"
	}
	m.state = "upkeep"
	if pool != "" {
		m.pool, m.state = pool, "moving"
	} else {
		m.upkeeps[wave] = true
	}
	id := ""
	if w := m.worker; w != nil {
		if s.keepsID && pool == "" {
			id = w.id
		}
		m.worker = nil
		go w.crash()
	}
	time.AfterFunc(down, func() { s.boot(m, id) })
	return http.StatusOK, ""
}

func (s *site) listMachines(w http.ResponseWriter) {
	s.lock.Lock()
	l := []map[string]any{}
	for _, m := range s.machines {
		id := ""
		if m.worker != nil {
			id = m.worker.id
		}
		l = append(l, map[string]any{
			"machine": m.name, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": m.labels(), "capacity": m.capacity(), "id": id,
		})
	}
	s.lock.Unlock()
	sort.Slice(l, func(a, b int) bool { return l[a]["machine"].(string) < l[b]["machine"].(string) })
	reply(w, http.StatusOK, map[string]any{"machines": l, "next-token": nil})
}
