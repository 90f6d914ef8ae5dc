// Package suite runs a package's Ginkgo specs with a fixed random seed.
package suite
