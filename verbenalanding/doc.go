// Verbenalanding is the daemon of an entry instance.
package main
