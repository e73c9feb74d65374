// Package wave decides the order, width, halt and resumption of maintenance waves and the steps of a planned stop.
package wave
