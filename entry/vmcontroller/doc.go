// Package vmcontroller gives orders to VMs on behalf of the fleet's owner: waves of maintenance, and moves between pools.
package vmcontroller
