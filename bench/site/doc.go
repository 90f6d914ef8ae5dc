// Package site starts a whole site on loopback addresses: the platform, backend servers and entry processes.
package site
