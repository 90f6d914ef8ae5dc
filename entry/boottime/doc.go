// Package boottime tells the time since the machine started, which also counts while the machine is suspended.
package boottime
