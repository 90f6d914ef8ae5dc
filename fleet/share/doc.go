// Package share divides the slots of a pool among the entries that send to it.
package share
