package dispatch

// Copy returns the copy on which Place plans.
func (p *Pool) Copy() *Pool { return p.copy() }
