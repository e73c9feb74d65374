// Package follow lists the keys under a prefix of the store and follows their changes.
package follow
