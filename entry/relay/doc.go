// Package relay passes callers' calls about jobs from the entry that took them to the entry that owns the fleet.
package relay
