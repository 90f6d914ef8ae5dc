// Package proxy is a fault-injecting TCP proxy that knows which link each connection is on.
package proxy
