// Package tarragonctl implements the operator commands and their client of the HTTP API of an entry.
package tarragonctl
