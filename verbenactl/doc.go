// Verbenactl is the command-line client of the operators' API.
package main
