package command

import (
	"fmt"
	"io"
	"os"

	"verbenalanding.example/verbenactl/render"
)

// maxJobFile is the largest file of a job that is sent, in bytes; entry instances take less.
const maxJobFile = 16 << 20

// placeCommand says where a job would go now.
type placeCommand struct {
	Queue     string `long:"queue" env:"VERBENA_QUEUE" value-name:"NAME" description:"name of the queue"`
	Workspace string `long:"workspace" env:"VERBENA_WORKSPACE" value-name:"NAME" description:"workspace whose key the caller would send"`
	File      string `short:"f" long:"file" env:"VERBENA_JOB_FILE" value-name:"FILE" description:"file with the job as a caller would send it, or - for standard input"`
}

func (p *placeCommand) run(s *session, args []string) error {
	switch {
	case len(args) > 0:
		return usageErrorf("place takes no arguments; name the file with -f")
	case p.Queue == "":
		return usageErrorf("--queue: missing; give the name of a queue")
	case p.File == "":
		return usageErrorf("--file: missing; give a file with the job, or - for standard input")
	}
	job, err := s.readJob(p.File)
	if err != nil {
		return err
	}
	c, err := s.anonymousClient()
	if err != nil {
		return err
	}
	a, err := c.Place(s.ctx, p.Queue, p.Workspace, job)
	if err != nil {
		return err
	}
	return s.print(a, render.Placement(a))
}

// readJob reads the file of a job.
func (s *session) readJob(name string) ([]byte, error) {
	in := s.In
	if name != stdinName {
		file, err := os.Open(name)
		if err != nil {
			return nil, usageErrorf("--file: %v", err)
		}
		defer func() { _ = file.Close() }()
		in = file
	}
	job, err := io.ReadAll(io.LimitReader(in, maxJobFile+1))
	if err != nil {
		return nil, fmt.Errorf("read the job: %w", err)
	}
	if len(job) > maxJobFile {
		return nil, usageErrorf("--file: more than %d bytes", maxJobFile)
	}
	return job, nil
}
