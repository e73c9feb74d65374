package reason

// The reasons of problems.
const (
	Unauthorized   = "unauthorized"
	Forbidden      = "forbidden"
	Invalid        = "invalidRequest"
	TooLarge       = "tooLarge"
	Refused        = "refused"
	Edit           = "editRefused"
	Conflict       = "conflict"
	NotReady       = "notReady"
	Unavailable    = "unavailable"
	UnknownOutcome = "unknownOutcome"
	NotFound       = "notFound"
	Busy           = "busy"
	Internal       = "internal"
)
