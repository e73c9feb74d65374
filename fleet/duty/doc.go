// Package duty distributes the control duties among the entry instances by leases with fencing epochs.
package duty
