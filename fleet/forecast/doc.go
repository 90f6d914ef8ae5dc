// Package forecast learns what pools are asked for at each time of the day.
package forecast
