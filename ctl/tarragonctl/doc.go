// Package tarragonctl speaks to the operators' side of an entry.
package tarragonctl
