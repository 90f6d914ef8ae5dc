// Package estimate estimates the mean and the percentiles of service times from a sliding window of samples.
package estimate
