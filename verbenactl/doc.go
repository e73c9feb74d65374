// Verbenactl is the command line of the operators' API.
package main
