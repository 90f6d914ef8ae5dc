// Package suite runs the specs of a package with a fixed seed.
package suite
