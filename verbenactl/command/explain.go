package command

import (
	"verbenalanding.example/verbenactl/render"
)

// jobCommand says why a job waits.
type jobCommand struct{}

func (*jobCommand) run(s *session, args []string) error {
	if len(args) != 1 {
		return usageErrorf("job takes the id of a job")
	}
	c, err := s.anonymousClient()
	if err != nil {
		return err
	}
	e, err := c.ExplainJob(s.ctx, args[0])
	if err != nil {
		return err
	}
	return s.print(e, render.Job(e))
}

// queueCommand says why the jobs of a queue wait.
type queueCommand struct{}

func (*queueCommand) run(s *session, args []string) error {
	if len(args) != 1 {
		return usageErrorf("queue takes the name of a queue")
	}
	c, err := s.anonymousClient()
	if err != nil {
		return err
	}
	e, err := c.ExplainQueue(s.ctx, args[0])
	if err != nil {
		return err
	}
	return s.print(e, render.Queue(e))
}

// workspaceCommand shows how the limit of a workspace is divided among the pools.
type workspaceCommand struct{}

func (*workspaceCommand) run(s *session, args []string) error {
	if len(args) != 1 {
		return usageErrorf("workspace takes the name of a workspace")
	}
	c, err := s.anonymousClient()
	if err != nil {
		return err
	}
	v, err := c.ShowWorkspace(s.ctx, args[0])
	if err != nil {
		return err
	}
	return s.print(v, render.Workspace(v))
}
