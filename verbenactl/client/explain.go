package client

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/quota"
)

// ExplainJob returns why a job waits.
func (c *Client) ExplainJob(ctx context.Context, id string) (dispatch.Explanation, error) {
	return get[dispatch.Explanation](ctx, c, "/operator/jobs/"+url.PathEscape(id))
}

// ExplainQueue returns why the jobs of a queue wait.
func (c *Client) ExplainQueue(ctx context.Context, name string) (dispatch.QueueExplanation, error) {
	return get[dispatch.QueueExplanation](ctx, c, "/operator/queues/"+url.PathEscape(name))
}

// ShowWorkspace returns what a workspace may run, and how its limit is divided among the pools.
func (c *Client) ShowWorkspace(ctx context.Context, name string) (quota.View, error) {
	return get[quota.View](ctx, c, "/operator/workspaces/"+url.PathEscape(name))
}

// Placement says where a job would go now, with the holder that has answered and the version of the configuration by which it decides.
type Placement struct {
	dispatch.Placement
	Holder        string `json:"holder"`
	Configuration int64  `json:"configuration"`
}

// Place returns where a job would go now; job is the body that a caller would send. Nothing is sent to the queue.
func (c *Client) Place(ctx context.Context, queue, workspace string, job []byte) (out Placement, err error) {
	path := "/operator/queues/" + url.PathEscape(queue) + "/placement"
	if workspace != "" {
		path += "?workspace=" + url.QueryEscape(workspace)
	}
	a, err := c.do(ctx, call{method: http.MethodPost, path: path, body: job})
	if err != nil {
		return out, err
	}
	return decode[Placement](a)
}

func get[T any](ctx context.Context, c *Client, path string) (out T, err error) {
	a, err := c.do(ctx, call{method: http.MethodGet, path: path})
	if err != nil {
		return out, err
	}
	if err := json.Unmarshal(a.body, &out); err != nil {
		return out, fmt.Errorf("decode the answer to %s: %w", path, err)
	}
	return out, nil
}
