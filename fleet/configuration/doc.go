// Package configuration keeps the operators' declarations as a change log in the store, follows the log and compacts it.
package configuration
