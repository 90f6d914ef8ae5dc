// Package share divides the slots of a pool among the entries that send requests to it.
package share
