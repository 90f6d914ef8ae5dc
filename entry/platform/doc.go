// Package platform is the client of the platform's API: its key-value store and its list of VMs.
package platform
