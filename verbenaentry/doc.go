// Command verbenaentry is an entry instance on the users' platform: it accepts jobs from callers, runs their tasks on leased workers, and
// carries out maintenance waves.
package main
