// Package forecast predicts the demand of pools from their demand at the same time of earlier days.
package forecast
