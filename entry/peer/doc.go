// Package peer connects an entry with the other entries. They gossip membership, configuration revisions and demand,
// fetch newer configurations from each other, and forward idempotency claims to the entry that batches them.
//
// Node.lock is never held during I/O or while a callback runs.
package peer
