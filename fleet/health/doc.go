// Package health decides which VMs of a pool may be given work, from what requests and probes saw.
package health
