// Package testfleet runs entry instances in one process against the stand-in of the platform, for tests and load.
package testfleet
