// Package pool describes pools: sets of VMs that serve the same services.
package pool
