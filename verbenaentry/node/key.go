package node

// The keys of a job in the store: the job itself, the record of its progress, and the request to cancel it.
func jobKey(pool, id string) string    { return "job/" + pool + "/" + id }
func stateKey(pool, id string) string  { return "state/" + pool + "/" + id }
func cancelKey(pool, id string) string { return jobKey(pool, id) + cancelSuffix }

const cancelSuffix = "/cancel"
