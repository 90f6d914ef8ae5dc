// Package estimate estimates the service times of requests from a sliding window of samples.
package estimate
