// Package measure compares the policies of the pure packages with simple baselines in virtual time.
//
// One scenario per file. Each runs the packages as the daemons do, against a model of engines with continuous batching,
// a limited prefix cache and lagging reports. Equal seeds give equal tables. The figures are those of the model; they
// are comparable with each other and not with a real fleet.
package measure
