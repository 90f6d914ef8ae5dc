package settings

// WatchPolicy is which entries learn of changes from the platform itself.
type WatchPolicy int

// The ways to learn of changes.
//
//go:generate enumer -type=WatchPolicy -transform=title-lower
const (
	// OnePerDataCentre has one entry of each data centre wait on the platform.
	OnePerDataCentre WatchPolicy = iota
	// Every has every entry wait on the platform.
	Every
	// Poll has every entry read the head again and again.
	Poll
)
