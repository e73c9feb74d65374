// Package drain tracks when every entry instance has stopped using an instance that is to be stopped.
package drain
