// Package platform is a stand-in for the platform's key-value store and list of VMs.
package platform
