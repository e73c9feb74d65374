// Package mirror keeps a copy of the records under a prefix of the store up to date by a watch.
package mirror
