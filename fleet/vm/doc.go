// Package vm describes the backend server VMs that do the work.
package vm
