// Package report renders burn, wave and move reports as text, JSON and self-contained HTML pages.
package report
