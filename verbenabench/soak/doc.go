// Package soak runs entry instances as separate processes beside a stand-in of the users' platform, injects random faults from
// outside them, and checks the promises from what callers and workers see.
package soak
