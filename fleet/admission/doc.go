// Package admission decides, per pool and entry instance, which request is dispatched, queued, refused or expired.
//
// A Pool uses no I/O, clock, goroutine or random source and is not safe for concurrent use: one goroutine owns it and
// passes the current time with every event. The returned slice of actions is reused; it is valid until the next call.
//
// A caller drives a Pool as follows.
//
//   - Configure, SetMembers and SetPeers are called first and again on every change of the configuration, of the pool's
//     members (also when routing ejects or returns one) and of the registered entry instances.
//   - Arrive is called for each request and returns its Ref. The actions may concern this and other requests.
//   - A Dispatch action means that the request holds a slot from now on. The caller picks an instance with
//     fleet/routing, calls Started and sends the request; it reports each ended attempt with Completed, may repeat the
//     attempt on the same slot (with Started again) if fleet/retry allows, and calls SlotFreed exactly once when it is
//     done with the request.
//   - A Refuse or Expire action means that the request was not run and that its Ref is no longer valid.
//   - Cancel is called when a caller disconnects. A queued request is dropped without an action. A dispatched request keeps
//     its slot until SlotFreed, since the backend server may still be working on it.
//   - Tick is called every TickInterval. It expires requests, adapts limits and recomputes the shares of slots.
//   - Demand is read for each heartbeat to the other entry instances and sent to all of them. PeerDemand is called with the
//     demand that a peer's heartbeat reports for this pool, PeerHeartbeat if the heartbeat reports none.
package admission
