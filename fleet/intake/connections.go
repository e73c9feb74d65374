package intake

// Connection is a member of Connections. Its zero value is one that was not added.
type Connection struct {
	// Owner is whoever carries the decisions about the connection out.
	Owner any

	state connectionState
	place node[Connection]
}

// connectionState says in which list of Connections a connection is.
type connectionState int

const (
	absent connectionState = iota
	quiet
	busy
)

// Connections holds at most Limit connections. A connection is quiet while it waits for its client: for a request, a header or a body. It is not
// safe for concurrent use.
type Connections struct {
	Limit int

	count int
	// quiet and busy hold the connections in the order in which they last became quiet or busy.
	quiet, busy list[Connection]
}

// Len returns the number of connections.
func (c *Connections) Len() int { return c.count }

// Add adds a quiet connection. If there are too many, it removes the one that has been quiet for longest, or else the first busy one of which
// stalled is true, and returns it. The new connection itself is returned, and not added, if there is none.
func (c *Connections) Add(n *Connection, stalled func(*Connection) bool) (removed *Connection) {
	if c.count >= c.Limit {
		if removed = c.removable(stalled); removed == nil {
			return n
		}
		c.Remove(removed)
	}
	c.count++
	n.state = quiet
	c.quiet.add(&n.place, n)
	return removed
}

// removable returns the connection that makes place for a new one, or nil if there is none.
func (c *Connections) removable(stalled func(*Connection) bool) *Connection {
	if c.quiet.first != nil {
		return c.quiet.first.element
	}
	for p := c.busy.first; p != nil; p = p.next {
		if stalled(p.element) {
			return p.element
		}
	}
	return nil
}

// Quiet notes that a connection waits for its client from now on, or that its client has just sent something.
func (c *Connections) Quiet(n *Connection) { c.move(n, quiet) }

// Busy notes that a connection no longer waits for its client.
func (c *Connections) Busy(n *Connection) { c.move(n, busy) }

func (c *Connections) move(n *Connection, state connectionState) {
	if n.state == absent || n.state == busy && state == busy {
		return
	}
	c.list(n).remove(&n.place)
	n.state = state
	c.list(n).add(&n.place, n)
}

// Remove removes a connection, and reports whether it was there.
func (c *Connections) Remove(n *Connection) bool {
	if n.state == absent {
		return false
	}
	c.list(n).remove(&n.place)
	n.state = absent
	c.count--
	return true
}

func (c *Connections) list(n *Connection) *list[Connection] {
	if n.state == quiet {
		return &c.quiet
	}
	return &c.busy
}
