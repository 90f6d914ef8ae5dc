// Package owner elects one entry as the owner of the fleet's jobs and servers by compare-and-swap on a key of the store.
// The owner stores each change of package scheduler's state before it acts on it, and sends the scheduler's orders to
// the backend servers.
package owner
