// Package leadership elects the node that holds a duty. A duty is a key in the store that is bound to its holder's lease; the creation
// revision of the key is the holder's fencing token.
//
// A node acquires a vacant duty (acquire.go) when it ranks first among the registered nodes (members.go), and hands a duty to a node
// with more free processors (balance.go). It gives orders for a duty, see Elector.Valid, while all of these hold:
//   - its lease has not expired by its own clock, or the witnesses of the duty have recently confirmed it (lease.go);
//   - the last confirmation that it holds the duty is younger than one lease: a read of the duty's key, an acknowledged write that was
//     conditional on the key's revision, or the replies of all its witnesses (confirmation.go);
//   - the process has not been paused for 0.4 s or longer since that confirmation (pause.go).
//
// Nodes that rank next for a duty are its standbys. They poll the holder and take the duty over from a lost one before its lease expires
// (failover.go); the limit on the age of a confirmation bounds how long the lost holder may still give orders beside its successor.
//
// The witnesses of a duty are up to four nodes that the store names with its holder (witness.go). All of them must agree for the holder to go on
// without the store (peerconfirmation.go), and a successor begins only once one of them agrees no more.
package leadership
