// Package settings defines the daemon's settings, which are read from flags and environment variables.
package settings
