// Package mirror follows the keys of a prefix in the store: by watch, and by reading anew where history is missing.
package mirror
