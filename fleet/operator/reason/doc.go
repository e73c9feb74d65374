// Package reason names the reasons of problems in answers to operators. It imports nothing, so that a program can answer with them without the
// parser of declarations, which the messages of the operators' API need.
package reason
