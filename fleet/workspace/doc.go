// Package workspace describes the workspaces that share a fleet: the keys that authenticate their callers, their weights
// and their caps.
package workspace
