// Package site runs a complete site of tarragond on loopback addresses: a simulated platform, backend servers and entry
// processes. The package jobsite runs one of tarragonjobs.
package site
