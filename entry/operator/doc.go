// Package operator serves the operators: health, metrics, the entry's view and changes of the configuration.
package operator
