// Package soak runs entry instances as separate processes with a stand-in of the users' platform, injects random faults from outside the
// processes, and checks the promises against what callers and workers observe.
package soak
