// Package placement decides where work runs: which engine generates a text, and which host runs a batch job. It does no
// I/O and reads no clock: a set of engines or a list of hosts goes in, a choice comes out.
//
// An engine is chosen by filtering, scoring and picking. The filter drops engines that cannot or should not take the
// text now. The score is the expected time of the text in units of the fastest pace, with small costs for connections
// and distance. The picker takes the engine with the lowest score.
package placement
