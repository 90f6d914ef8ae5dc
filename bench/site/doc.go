// Package site runs a complete site on loopback addresses: a simulated platform, backend servers and entry processes.
package site
