// Package allowance tells which jobs exceed the rate of jobs per second to which a workspace has a claim.
package allowance
