// Package peer speaks to the other entries: who is there, what is in force, what each asks for.
//
// Lock order: Node.lock is never held while a hook of the node runs or while I/O is done.
package peer
