// Package owner makes one entry the owner of the fleet's jobs and servers: it wins the ownership by
// compare-and-swap, carries out what package scheduler decides, and stores it before it acts on it.
package owner
