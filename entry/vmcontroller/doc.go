// Package vmcontroller maintains VMs in waves and moves them between pools, on behalf of the fleet's owner. Each change of a
// VM is an order to the platform; the latest orders are stored before they are sent, so that the next owner knows them.
package vmcontroller
