// Package rollout plans how a new weight version is rolled out to the engines of a policy: first staged on all engines,
// then activated on all of them at once. The planner does no I/O; agents apply the written target on their own.
//
// Invariant: the target version of a policy never decreases, and a version is activated only after every healthy engine
// has staged it. Activation proceeds with MinStagedFraction of the engines after the stage timeout, or once the
// remaining engines have taken StragglerFactor times as long as that fraction did. An engine that is skipped stages and
// activates the version later, and its samples carry the version that it serves.
package rollout
