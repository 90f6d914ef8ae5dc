package main

import (
	"fmt"
	"strings"
)

// gangRun is one run of a gang: the members that have started, and whether one has ended without being done.
type gangRun struct {
	members map[string]bool
	broken  bool
}

func (s *site) gangOf(task string, number int) *gangRun {
	n := fmt.Sprintf("%s/%d", task[:strings.LastIndex(task, ".")], number)
	if s.gangs[n] == nil {
		s.gangs[n] = &gangRun{members: map[string]bool{}}
	}
	return s.gangs[n]
}

func (s *site) joinGang(task string, number int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gangOf(task, number).members[task] = true
}

func (s *site) gangPresent(r *run) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.gangOf(r.task, r.number).members) >= r.step.gang
}

func (s *site) gangBroken(r *run) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gangOf(r.task, r.number).broken
}

func (s *site) breakGang(r *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gangOf(r.task, r.number).broken = true
}
