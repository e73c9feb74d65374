// Package capacity measures how costs grow with the size of the fleet.
package capacity
