// Package platformsim implements a simulated platform with a key-value store and a list of VMs, served over HTTP.
package platformsim
