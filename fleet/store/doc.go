// Package store defines the types and errors of the platform's key-value store: keys, revisions, leases,
// transactions and change events.
package store
