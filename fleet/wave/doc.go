// Package wave decides which VMs of a maintenance wave go down next.
package wave
