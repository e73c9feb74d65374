// Package flood measures admission, routing and retry under overload. A discrete-event simulation of a deployment's pools drives the fleet's
// own packages, and compares them with baselines that each replace one of them.
package flood
