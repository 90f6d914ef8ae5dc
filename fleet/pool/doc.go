// Package pool describes the sets of VMs that serve the same services.
package pool
