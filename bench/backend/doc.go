// Package backend implements a simulated backend server with injectable failure modes.
package backend
