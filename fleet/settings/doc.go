// Package settings reads what one entry process is told when it starts.
package settings
