// Package assignment compares ways to assign streams of requests to servers: the balanced stream assignment of Garg,
// Shahabuddin and Verma ("Balanced Stream Assignment for Service Facility", IBM Research Report), a random balanced
// assignment, and shared dispatch to the whole pool.
package assignment
