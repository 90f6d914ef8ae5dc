// Package usage keeps what each workspace may have running on all servers, for the comparison with its cap.
package usage
