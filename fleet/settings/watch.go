package settings

// WatchPolicy selects the entries that watch the store of the platform for configuration changes.
type WatchPolicy int

// The policies; enumer makes their texts in the settings from the names without the prefix Watch.
//
//go:generate enumer -type=WatchPolicy -trimprefix=Watch -transform=title-lower
const (
	// WatchOnePerDataCentre lets one entry in each data centre watch the store; the others hear of changes from it.
	WatchOnePerDataCentre WatchPolicy = iota
	// WatchEvery lets every entry watch the store.
	WatchEvery
	// WatchPoll lets every entry poll the store for the head pointer.
	WatchPoll
)
