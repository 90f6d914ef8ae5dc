// Package overload tells from the delay of planned actions whether a process has too little processor for its work.
//
// An owner whose processor is at its limit renews leases, commits and starts tasks late, for every job at once. Each
// accepted job costs it a start and an end for every task, so it refuses new jobs until it keeps up again.
package overload
