// Verbenalanding is the entry instance's daemon.
package main

func main() {}
