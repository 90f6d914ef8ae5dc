package settings

// WatchPolicy is which entries learn of changes from the platform itself.
type WatchPolicy int

// The ways to learn of changes.
//
//go:generate enumer -type=WatchPolicy -trimprefix=Watch -transform=title-lower
const (
	// WatchOnePerDataCentre has one entry of each data centre wait on the platform.
	WatchOnePerDataCentre WatchPolicy = iota
	// WatchEvery has every entry wait on the platform.
	WatchEvery
	// WatchPoll has every entry read the head again and again.
	WatchPoll
)
