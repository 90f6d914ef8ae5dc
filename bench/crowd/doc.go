// Package crowd opens many connections whose clients do not keep to the protocol, and watches what the process that serves them
// holds.
package crowd
