package config

// Keys of the configuration in the store.
const (
	HeadPointerKey   = "config/head"
	SectionKeyPrefix = "config/section/"
)

// SectionKey is the store's key of a section.
func SectionKey(d Digest) string {
	return SectionKeyPrefix + d.String()
}
