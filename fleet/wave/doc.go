// Package wave schedules maintenance waves: it decides which VMs of a wave go down next.
package wave
