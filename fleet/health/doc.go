// Package health decides which VMs of a pool may receive requests, by passive checks of the requests and active probes.
package health
