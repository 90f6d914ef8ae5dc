// Package tarragond puts the parts of one entry process together and runs them.
package tarragond
