// Package process runs the programs under test as processes of their own.
package process
