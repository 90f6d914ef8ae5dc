// Package estimate learns how long the requests of a service take.
package estimate
