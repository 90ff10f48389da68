// Package measure compares the policies of the service with simple baselines in a discrete-event simulation.
//
// Each scenario has its own file. It runs the policy packages as the daemons do, against a model of engines with
// continuous batching, a limited prefix cache and delayed load reports. Equal seeds give equal tables. The figures
// describe the model: they can be compared with each other, but not with figures of a real fleet.
package measure
