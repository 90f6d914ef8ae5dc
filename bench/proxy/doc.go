// Package proxy implements a TCP proxy that injects network faults, selected by the source address of each connection.
package proxy
