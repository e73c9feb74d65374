package node

// The keys of a job in the store: the job itself, the record of its progress, and the request to cancel it.
func jobKey(pool, id string) string    { return "job/" + pool + "/" + id }
func stateKey(pool, id string) string  { return "state/" + pool + "/" + id }
func cancelKey(pool, id string) string { return jobKey(pool, id) + cancelSuffix }

const cancelSuffix = "/cancel"

// acceptedKey is the key that names the pool in which a job of a queue runs. It exists as long as the job does, whatever pool the queue is
// configured for meanwhile, so that an id is accepted once.
func acceptedKey(queue, id string) string { return "accepted/" + queue + "/" + id }

// cancelledKey lists an id that was cancelled before a job with it was accepted, for the holder of the queue's pool, which deletes the mark under
// acceptedKey with it.
func cancelledKey(pool, queue, id string) string { return cancelledPrefix(pool) + queue + "/" + id }
func cancelledPrefix(pool string) string         { return "cancelled/" + pool + "/" }

// queuePoolPrefix is the prefix of the keys that name the pools for which jobs of a queue have been stored.
func queuePoolPrefix(queue string) string    { return "queue/" + queue + "/" }
func queuePoolKey(queue, pool string) string { return queuePoolPrefix(queue) + pool }
