// Package deferred records requests that may wait in the store and runs them later; recorded work is never lost.
package deferred
