// Package budget decides whether a planned stop may be reserved in the availability budgets that cover an instance.
package budget
