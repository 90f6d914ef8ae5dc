// Package rebalance decides which VMs move between pools so that capacity follows demand.
//
// A pool's demand can rise to several times its mean for a few seconds while that of the others falls to almost
// nothing. A VM pays for itself at a utilisation of one fifteenth, so pools grow immediately and shrink only when
// VMs have been idle for a while.
package rebalance
