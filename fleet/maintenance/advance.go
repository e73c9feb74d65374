package maintenance

import (
	"errors"
	"fmt"
	"time"

	"verbenalanding.example/fleet/platform"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/store"
	"verbenalanding.example/fleet/wave"
)

// deleteAfter is how long an instance must be missing from the platform's list, which may lag, before its record is deleted.
const deleteAfter = 5 * time.Minute

// advance sends the due state chart events of every instance of the pool. An instance whose write conflicts is tried again
// in the next step.
func (s *step) advance() error {
	for _, id := range s.instanceIDs {
		if s.Instances[id].Value.Pool != s.Pool {
			continue
		}
		deleted, err := s.deleteGone(id)
		if err == nil && !deleted {
			err = s.advanceOne(id)
		}
		if errors.Is(err, store.ErrConflict) {
			continue
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// maxEventsPerStep is the maximum number of state chart events that one step sends for an instance.
const maxEventsPerStep = 5

// advanceOne sends events to an instance's state chart while the next one is due at once, so that a stop does not take
// several steps of the loop.
func (s *step) advanceOne(id string) error {
	for range maxEventsPerStep {
		i := s.Instances[id].Value
		switch a := wave.Next(s.observe(i)).(type) {
		case wave.Advance:
			if err := s.applyEvent(i, a); err != nil {
				return err
			}
			if s.Instances[id].Value.State == i.State || s.Instances[id].Value.Pool != s.Pool {
				return nil
			}
		case wave.Command:
			changed, err := s.sendCommand(i)
			if err != nil || !changed {
				return err
			}
		case wave.Stay:
			if i.State == wave.InService || i.State == wave.Retired {
				return nil
			}
			return s.explain(id, a.Rule, a.Detail)
		}
	}
	return nil
}

func (s *step) observe(i record.Instance) wave.Observation {
	listed, present := s.Listed[i.ID]
	o := wave.Observation{Now: s.now, Instance: i, Listed: listed, Present: present, AsOf: s.AsOf, RebootTime: s.rebootTime(i), CheckTime: s.CheckTime, ClockSkew: s.ClockSkew}
	switch i.State {
	case "draining":
		o.StopOrdered = s.stopOrdered(i)
		if i.StopPurpose != wave.StopRetire || listed.Status != platform.Leaving {
			o.Overdrawn = s.overdrawn(i)
		}
		s.queryDrain(&o)
	case "stopping":
		s.queryDrain(&o)
	case wave.Failed:
		o.Retire = s.retiring(i.ID)
		s.queryDrain(&o)
	}
	return o
}

// queryDrain reads the drain status from the entry instances and the backend server; no response counts as not drained.
func (s *step) queryDrain(o *wave.Observation) {
	confirmed, err := s.Drains.Confirmed(s.ctx, o.Instance.ID, o.Instance.Drain)
	o.Confirmed = confirmed && err == nil
	if err != nil {
		o.Unconfirmed = err.Error()
	}
	if !o.Confirmed {
		return
	}
	n, err := s.Control.InFlight(s.ctx, o.Instance.ID)
	o.InFlight, o.InFlightKnown = n, err == nil
}

// applyEvent writes the result of an event of the instance's state chart to the store.
func (s *step) applyEvent(i record.Instance, a wave.Advance) error {
	if s.slow && a.Event == "stop" {
		return nil
	}
	var newEpoch record.Epoch
	if a.Event == "move" {
		var err error
		if newEpoch, err = s.epochOf(i.MoveTo); err != nil {
			return err
		}
	}
	return s.transition(i.ID, a.Event, a.Rule, a.Detail, func(n *record.Instance) {
		switch a.Event {
		case "fail":
			// With a new drain number the entry instances must confirm again before the instance may be rebooted.
			n.Drain++
		case "abandon":
			clearStop(n)
			// A later failure is not attributed to the wave, since the wave did not stop the instance.
			n.Wave, n.Round = "", 0
		case "reboot":
			s.recordReboot(n)
		case "booted":
			if n.CommandAcknowledged {
				n.RebootDuration = s.now.Sub(i.Since)
			}
		case "retry":
			s.recordRetry(n, a)
		case "move":
			n.ArrivedFrom, n.Pool, n.Epoch = n.Pool, n.MoveTo, newEpoch
			if n.Pool == n.ArrivedFrom {
				n.ArrivedFrom = ""
			}
		case "return":
			s.recordReturn(n)
		}
	})
}

func clearStop(i *record.Instance) {
	i.StopPurpose, i.MoveTo, i.Command, i.CommandAcknowledged, i.BootCountBefore = "", "", "", false, 0
}

// recordReboot records a reboot command before it is sent, so that every retry, also by another holder, uses the same command
// id.
func (s *step) recordReboot(i *record.Instance) {
	i.Command = fmt.Sprintf("%s/%d/%d", i.ID, i.Drain, i.Attempts)
	i.CommandAcknowledged = false
	i.BootCountBefore = s.Listed[i.ID].BootCount
	i.BootCount = i.BootCountBefore
	if i.Wave != "" {
		i.Firmware = wave.Firmware(i.Wave, i.Round)
	}
}

func (s *step) recordRetry(i *record.Instance, a wave.Advance) {
	if a.Rule == "returned" {
		// A commanded reboot that ended late counts as maintenance; any other return does not.
		if !i.CommandAcknowledged || s.Listed[i.ID].BootCount <= i.BootCountBefore {
			i.Command, i.CommandAcknowledged = "", false
		}
		return
	}
	i.Attempts++
	s.recordReboot(i)
}

func (s *step) recordReturn(i *record.Instance) {
	if i.Command != "" {
		i.Maintained = s.now
	}
	i.BootCount = s.Listed[i.ID].BootCount
	i.ArrivedFrom = ""
	i.Attempts = 0
	clearStop(i)
}

// epochOf returns the epoch of the duty of the pool that receives an instance, so that earlier holders of that duty stay
// fenced; it is 0 for a duty that nobody has held yet.
func (s *step) epochOf(pool string) (record.Epoch, error) {
	d, _, err := record.Load[record.Duty](s.ctx, s.Store, record.DutyPrefix+PoolDutyPrefix+pool)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return 0, err
	}
	return d.Epoch, nil
}

// sendCommand sends the recorded command and reports whether the record changed. The platform executes a command id at most
// once, so that sending it again is safe.
func (s *step) sendCommand(i record.Instance) (bool, error) {
	send := s.Control.Reboot
	// A failed instance is sent a command only to retire it; the recorded command may still be that of an unsuccessful reboot.
	if i.StopPurpose == wave.StopRetire || i.State == wave.Failed {
		if i.StopPurpose != wave.StopRetire || i.Command == "" {
			i.StopPurpose, i.Command, i.CommandAcknowledged = wave.StopRetire, fmt.Sprintf("%s/%d/retire", i.ID, i.Drain), false
			return true, s.saveInstance(i)
		}
		send = s.Control.Retire
	}
	if err := send(s.ctx, i.ID, i.Command); err != nil {
		s.Log.Warn().Err(err).Str("instance", i.ID).Str("command", i.Command).Msg("command not acknowledged")
		return false, nil
	}
	// The reboot timeout and the age of health reports are measured from the acknowledgement.
	i.CommandAcknowledged, i.Since = true, s.now
	return true, s.saveInstance(i)
}

// deleteGone deletes the record of an instance that has been missing from the platform's list for deleteAfter.
func (s *step) deleteGone(id string) (bool, error) {
	listed, present := s.Listed[id]
	if present && listed.Status != platform.Gone {
		delete(s.missingSince, id)
		return false, nil
	}
	since, ok := s.missingSince[id]
	if !ok {
		s.missingSince[id] = s.now
		return false, nil
	}
	state := s.Instances[id].Value.State
	if s.now.Sub(since) < deleteAfter || (state != wave.Failed && state != wave.Retired) {
		return false, nil
	}
	if err := s.Store.Delete(s.ctx, record.InstancePrefix+id, s.Instances[id].Revision); err != nil {
		return false, fmt.Errorf("delete instance %s: %w", id, err)
	}
	s.copyInstances()
	delete(s.Instances, id)
	delete(s.missingSince, id)
	return true, nil
}
