package message

import (
	"time"

	"verbenalanding.example/fleet/configuration"
	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/operator/reason"
)

// Paths of the calls.
const (
	ApplyPath     = "/v1/apply"
	DiffPath      = "/v1/diff"
	ExportPath    = "/v1/export"
	StatementPath = "/v1/statement"
	ReportPath    = "/v1/reports/"
	VersionPath   = "/v1/version"
	MetricsPath   = "/metrics"
)

// RevisionHeader carries the revision of an export.
const RevisionHeader = "Verbena-Revision"

// Apply is a request to apply files of declarations.
type Apply struct {
	// ChangeID identifies the change; a call with the same id is never applied twice.
	ChangeID string `json:"changeId"`
	// Base is the revision that the files were derived from; 0 means the revision in force.
	Base uint64 `json:"base,omitempty"`
	// Prune removes declared objects that are not in the files.
	Prune bool               `json:"prune,omitempty"`
	Files []declaration.File `json:"files"`
}

// Applied is the answer to an accepted change.
type Applied struct {
	ChangeID string `json:"changeId"`
	Revision uint64 `json:"revision"`
	// Unchanged is set if the requested configuration was already in force, so no change was made.
	Unchanged bool              `json:"unchanged,omitempty"`
	Written   []declaration.Ref `json:"written,omitempty"`
	Removed   []declaration.Ref `json:"removed,omitempty"`
}

// Diff is a request for the changes that files of declarations would make.
type Diff struct {
	Prune bool               `json:"prune,omitempty"`
	Files []declaration.File `json:"files"`
}

// Difference is the answer to Diff: the changes of objects and their effects.
type Difference struct {
	Revision uint64         `json:"revision"`
	Changes  []ObjectChange `json:"changes"`
	Effects  []Effect       `json:"effects"`
}

// Action is what a change does to an object.
type Action string

// The actions.
const (
	Add    Action = "add"
	Modify Action = "change"
	Remove Action = "remove"
)

// ObjectChange is the change of one declared object.
type ObjectChange struct {
	Action Action          `json:"action"`
	Object declaration.Ref `json:"object"`
	Fields []FieldChange   `json:"fields,omitempty"`
}

// FieldChange is the change of one field; empty values mean that the field is not set.
type FieldChange struct {
	Field string `json:"field"`
	From  string `json:"from"`
	To    string `json:"to"`
}

// Effect is one consequence of a change.
type Effect struct {
	// Kind is drain, move, requests, share, budget, wave, quota or unknown.
	Kind   string          `json:"kind"`
	Object declaration.Ref `json:"object"`
	Text   string          `json:"text"`
}

// Statement is a request with a statement of the language.
type Statement struct {
	Text string `json:"text"`
	// ChangeID is required for intents.
	ChangeID string `json:"changeId,omitempty"`
	Base     uint64 `json:"base,omitempty"`
}

// Answer is the answer to a statement; exactly one field is set.
type Answer struct {
	Table       *Table       `json:"table,omitempty"`
	Explanation *Explanation `json:"explanation,omitempty"`
	Applied     *Applied     `json:"applied,omitempty"`
}

// Table is the answer to a show statement.
type Table struct {
	Revision uint64     `json:"revision"`
	Columns  []string   `json:"columns"`
	Rows     [][]string `json:"rows"`
	// Total is the number of matching rows; it exceeds the length of Rows if a limit applied.
	Total int `json:"total"`
}

// Explanation is the answer to a why statement: first findings about its subject, then about the objects it depends on.
type Explanation struct {
	Revision uint64    `json:"revision"`
	Findings []Finding `json:"findings"`
}

// Finding is the rule and the figures that explain the state of one object.
type Finding struct {
	// Depth is the distance from the subject in dependencies.
	Depth int    `json:"depth"`
	Kind  string `json:"kind"`
	Name  string `json:"name"`
	State string `json:"state,omitempty"`
	Rule  string `json:"rule"`
	// Figures are the figures that the rule was applied to.
	Figures string `json:"figures"`
	// ConfigRevision is the configuration revision that the rule was applied under.
	ConfigRevision uint64     `json:"configRevision"`
	At             *time.Time `json:"at,omitempty"`
}

// Version is the version of the daemon and the revision in force, which is 0 before a configuration has been read.
type Version struct {
	Version  string `json:"version"`
	Revision uint64 `json:"revision"`
}

// Outcomes of a failed call that changes the configuration.
const (
	NotApplied = "notApplied"
	Unknown    = "unknown"
)

// Reasons of problems.
const (
	ReasonUnauthorized   = reason.Unauthorized
	ReasonForbidden      = reason.Forbidden
	ReasonInvalid        = reason.Invalid
	ReasonTooLarge       = reason.TooLarge
	ReasonRefused        = reason.Refused
	ReasonEdit           = reason.Edit
	ReasonConflict       = reason.Conflict
	ReasonNotReady       = reason.NotReady
	ReasonUnavailable    = reason.Unavailable
	ReasonUnknownOutcome = reason.UnknownOutcome
	ReasonNotFound       = reason.NotFound
	ReasonBusy           = reason.Busy
	ReasonInternal       = reason.Internal
)

// Problem is the RFC 9457 body of an answer other than success.
type Problem struct {
	Type      string `json:"type"`
	Title     string `json:"title"`
	Status    int    `json:"status"`
	Detail    string `json:"detail,omitempty"`
	Reason    string `json:"reason"`
	RequestID string `json:"requestId"`
	// Outcome is NotApplied or Unknown; it is set only for calls that change the configuration.
	Outcome  string `json:"outcome,omitempty"`
	ChangeID string `json:"changeId,omitempty"`
	// Problems lists every reason for a refusal.
	Problems []declaration.Problem `json:"problems,omitempty"`
	// Other is the accepted change that the requested one conflicts with, and Objects are the objects that both touch.
	Other   *configuration.Change `json:"other,omitempty"`
	Objects []declaration.Ref     `json:"objects,omitempty"`
}
