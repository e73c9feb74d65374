package flood

// firstCome is the baseline of admission. Each entry instance has a static limit, an equal share of the pool's slots, and one bounded queue
// for all services, which is served in the order of arrival.
type firstCome struct {
	limit    int
	inFlight int
	queue    []*request
}

func (f *firstCome) arrive(e *entry, r *request) {
	if len(f.queue) >= 1024 {
		e.sim.endRequest(r, refused)
		return
	}
	f.queue = append(f.queue, r)
	f.dispatch(e)
}

func (f *firstCome) dispatch(e *entry) {
	for f.inFlight < f.limit && len(f.queue) > 0 {
		r := f.queue[0]
		f.queue = f.queue[1:]
		if e.sim.now >= r.deadline {
			e.sim.endRequest(r, expired)
			continue
		}
		f.inFlight++
		if !e.attempt(r, "") {
			f.inFlight--
			e.sim.endRequest(r, refused)
		}
	}
}

func (f *firstCome) releaseSlot(e *entry) {
	f.inFlight--
	f.dispatch(e)
}

func (f *firstCome) cancelMost(e *entry) {
	var remaining []*request
	for _, r := range f.queue {
		if e.sim.random.IntN(10) < 8 {
			e.sim.endRequest(r, cancelled)
		} else {
			remaining = append(remaining, r)
		}
	}
	f.queue = remaining
}
