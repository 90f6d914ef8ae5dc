// Package platform speaks to the platform's key-value store and to its list of VMs.
package platform
