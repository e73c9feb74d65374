// Package moves compares planned moves between pools with static pools and a threshold rule in simulated time.
package moves
