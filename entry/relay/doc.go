// Package relay forwards calls about jobs from the entry that received them to the entry that owns the fleet.
package relay
