// Package follow keeps a process up to date with the keys under a prefix of the store.
package follow
