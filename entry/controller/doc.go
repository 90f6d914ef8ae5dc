// Package controller carries maintenance and moves out, from any entry that holds the lease.
//
// The lease saves work only: each action is recorded by compare-and-swap on what
// was read before it is carried out, so that two controllers at once break nothing.
package controller
