// Package burn computes service-level burn rates and error budgets over several windows in bounded memory. It does no I/O and reads no
// clock.
package burn
