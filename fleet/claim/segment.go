package claim

import "time"

// closedSegment is a segment to which no more lines are added.
type closedSegment struct {
	number uint64
	newest time.Time
	keys   []id
}

func (j *Journal) addLine(now time.Time, l Line) {
	if len(j.unwritten) == 0 {
		j.oldestLine = now
	}
	j.unwritten = append(j.unwritten, l)
}

// flush emits the next Append if none is in flight, the write rate allows it and there is something to write.
func (j *Journal) flush(now time.Time, actions []Action) []Action {
	if j.writing || j.fenced || len(j.unwritten) == 0 {
		return actions
	}
	if len(j.waiting) == 0 && now.Sub(j.oldestLine) < j.ReportDelay {
		return actions
	}
	j.refill(now)
	if j.tokens < 1 {
		return actions
	}
	j.tokens--
	lines, unmerged := j.merge()
	freeLines := (j.SegmentSize-headSize)/lineSize - len(lines)
	full := headSize+len(lines)*lineSize >= j.RollSize || freeLines < len(unmerged)
	if full && len(unmerged) > 0 && len(lines) > 0 {
		j.closeSegment()
		lines, unmerged = nil, j.unwritten
		freeLines = (j.SegmentSize - headSize) / lineSize
	}
	j.unwritten = unmerged
	return append(actions, j.appendLines(now, lines, max(freeLines, 1)))
}

// merge returns a copy of the open segment's lines, with reports merged into the lines of their claims, and the lines that
// remain to be added. A report in the line of its claim takes a quarter of the bytes of a line of its own.
func (j *Journal) merge() (lines, unmerged []Line) {
	lines = append(make([]Line, 0, len(j.segment.Lines)+len(j.unwritten)), j.segment.Lines...)
	for _, l := range j.unwritten {
		if !mergeReport(lines, l) {
			unmerged = append(unmerged, l)
		}
	}
	return lines, unmerged
}

func mergeReport(lines []Line, report Line) bool {
	if report.Body != nil {
		return false
	}
	for n := range lines {
		l := &lines[n]
		if l.Key == report.Key && l.Claim == report.Claim && l.Body != nil && l.Outcome == "" {
			l.Outcome = report.Outcome
			return true
		}
	}
	return false
}

// appendLines returns an Append of lines and of at most freeLines lines that wait to be written.
func (j *Journal) appendLines(now time.Time, lines []Line, freeLines int) Append {
	batch := j.unwritten[:min(freeLines, len(j.unwritten))]
	remaining := append([]Line(nil), j.unwritten[len(batch):]...)
	j.segment.Lines = append(lines, batch...)
	j.segment.Commit++
	for _, l := range batch {
		if state, found := j.keys[l.Key]; found && l.Body != nil && state.claimID == l.Claim {
			state.segment = uint32(j.number)
			j.keys[l.Key] = state
		}
	}
	written := map[[2]id]bool{}
	for _, l := range batch {
		if l.Body != nil {
			written[[2]id{l.Key, l.Claim}] = true
		}
	}
	var stillWaiting []waiter
	for _, a := range j.waiting {
		if written[[2]id{a.key, a.claimID}] {
			j.inFlight = append(j.inFlight, a)
		} else {
			stillWaiting = append(stillWaiting, a)
		}
	}
	j.waiting, j.unwritten, j.oldestLine, j.writing = stillWaiting, remaining, now, true
	a := Append{Number: j.number, Segment: j.segment, Create: !j.created}
	j.created = true
	return a
}

func (j *Journal) closeSegment() {
	c := closedSegment{number: j.number, newest: j.segment.NewestClaim()}
	for _, l := range j.segment.Lines {
		if l.Body != nil {
			c.keys = append(c.keys, l.Key)
		}
	}
	j.closed = append(j.closed, c)
	j.number++
	j.created = false
	j.segment = Segment{Epoch: j.Epoch, Writer: j.Epoch}
}

func (j *Journal) committed() []Action {
	var actions []Action
	for _, a := range j.inFlight {
		state := j.keys[a.key]
		if state.claimID == a.claimID && state.phase == pending {
			state.phase = granted
			j.keys[a.key] = state
		}
		if state.claimID == a.claimID && state.phase == granted {
			actions = append(actions, Grant{a.ticket})
		} else {
			actions = append(actions, Reject{a.ticket, ReasonReleased})
		}
	}
	j.inFlight, j.writing, j.stalled = nil, false, false
	return actions
}
