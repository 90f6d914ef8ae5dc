// Package settings reads the startup settings of an entry.
package settings
