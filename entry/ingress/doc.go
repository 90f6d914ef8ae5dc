// Package ingress bounds the memory and the descriptors that the clients of a listener hold together. While there is room, it closes
// no connection and refuses no request. Without room, it closes first the connections that hold most for the longest without a
// complete request.
package ingress
