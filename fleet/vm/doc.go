// Package vm describes the VMs that run backend servers, and their maintenance state.
package vm
