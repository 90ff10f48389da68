// Package rollout decides how a new weight version spreads over the engines of a policy: staged ahead on all, then
// activated on all together. It is a pure planner; agents follow the written target by themselves.
//
// Invariant: the target of a policy only moves forward, and a version is activated only after it was staged on every
// engine that is alive, or on the share that suffices after the stage timeout or once the others took a multiple of the
// time of that share. An engine left behind stages and activates the version by itself, and its samples carry the
// version that it serves.
package rollout
