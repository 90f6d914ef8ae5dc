// Package tarragond assembles the components of the entry process and runs them.
package tarragond
