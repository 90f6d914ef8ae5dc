// Package mirror follows the keys under a prefix of the store: it reads them all once and then watches for changes.
// Where the store has compacted the history since the last change seen, it reads them all again.
package mirror
