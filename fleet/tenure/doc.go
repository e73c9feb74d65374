// Package tenure decides which node holds a duty: a key in the store under the node's lease, whose creation revision is the
// holder's fencing token.
//
// A node takes a vacant duty (vacancy.go) when it comes first among the members (members.go), and gives one away to a node with more
// processors (balance.go). It gives orders for a duty, see Tenure.Valid, while all of these hold:
//   - its lease lasts by its own count, or all other nodes have confirmed lately that they hold none of its duties (lease.go);
//   - a proof shows that the duty was still its own less than a lease ago: an answered read of its key, an acknowledged write under the
//     condition of its revision, or a confirmation (proof.go);
//   - the node has not stood still for 0.4 s since that proof (pause.go).
//
// A guard is a node that comes next for a duty. It asks the holder, and takes the duty of a lost one before its lease ends (guard.go); the
// proofs bound for how long the lost one gives orders beside it.
package tenure
