package workload

import "unsafe"

const (
	// jobBytes is the memory of a job beside its texts and steps, in bytes: its description, its queue as it was and as it is, and its places in the
	// maps of the process that keeps it.
	jobBytes = 2 << 10
	// stepBytes is the memory of a step beside its texts and lists.
	stepBytes = int64(unsafe.Sizeof(Step{}))
	// numberBytes is the memory of a number of a list.
	numberBytes = int64(unsafe.Sizeof(int(0)))
)

// Memory returns the memory in bytes that the job takes in a process that keeps it, without the states of its tasks.
func (j *Job) Memory() int64 {
	size := int64(jobBytes + len(j.Spec))
	for i := range j.Steps {
		s := &j.Steps[i]
		size += stepBytes + numberBytes*int64(len(s.After)) + int64(len(s.RequiredLabel)+len(s.DataRack)+len(s.Image))
	}
	return size
}
