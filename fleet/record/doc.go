// Package record defines the typed records in the platform's store and their keys.
package record
