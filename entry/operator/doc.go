// Package operator serves the operators' HTTP API: health, metrics, the entry's state, changes of the configuration,
// and control of maintenance.
package operator
