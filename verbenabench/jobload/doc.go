// Package jobload puts jobs on entry instances that run against the stand-in of the platform, and measures how they are served.
package jobload
