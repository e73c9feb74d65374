// Package intake decides which messages of clients get room in a process and which connections it keeps. Room bounds the bytes of messages,
// Connections the number of connections. Both use neither clock nor network: callers pass the time and carry the decisions out.
package intake
