// Package backend speaks to the backend servers and passes on whole answers only.
package backend
