// Package peer sends and answers the messages between entry instances.
package peer
