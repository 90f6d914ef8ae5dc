package config

// Keys of the configuration in the store.
const (
	HeadKey       = "config/head"
	SectionPrefix = "config/section/"
)

// SectionKey is the store's key of a section.
func SectionKey(d Digest) string {
	return SectionPrefix + d.String()
}
