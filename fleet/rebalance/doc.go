// Package rebalance decides which VMs move between pools so that VMs follow the demand. It answers pools whose
// demand rises to several times its mean for some seconds while that of the others falls to almost nothing: a VM
// pays for itself once a fifteenth of it is used, so pools grow at once and shrink when VMs have been idle.
package rebalance
