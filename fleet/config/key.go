package config

// Store keys of the configuration.
const (
	HeadPointerKey   = "config/head"
	SectionKeyPrefix = "config/section/"
)

// SectionKey returns the store key of the section or head with the digest.
func SectionKey(d Digest) string {
	return SectionKeyPrefix + d.String()
}
