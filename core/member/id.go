// Package member is a failure detector: it determines which instances of the
// fleet can receive requests. It uses direct evidence first, then reports of
// peers, then the platform's list, which lags.
package member

// InstanceID identifies one upstream instance together with the node beside it.
type InstanceID string

// Zone names an availability zone.
type Zone string

// BootID identifies one run of a node process. It changes with each restart.
type BootID uint64
