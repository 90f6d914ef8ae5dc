// Package vmusage accounts for the time of the VMs that are switched on, by what they are held for.
package vmusage
