// Package process starts, stops and measures the programs under test as child processes.
package process
