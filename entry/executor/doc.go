// Package executor lets other entries send the owner's orders to backend servers, so that the owner's processor does not
// limit the number of servers.
package executor
