// Command verbenaentry is an entry instance on the users' platform: it takes callers' jobs, places them on leased workers,
// and carries out maintenance waves.
package main
