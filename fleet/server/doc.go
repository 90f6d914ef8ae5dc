// Package server describes the backend servers as they register themselves and as they list their runs.
package server
