// Package platformsim simulates the platform of tarragond, a key-value store and a list of VMs served over HTTP. The
// package platform/simulator simulates that of tarragonjobs.
package platformsim
