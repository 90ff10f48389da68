// Package placement decides where work goes: which engine makes a text, and which host runs a batch job. It is pure code:
// a board of engines or a list of hosts goes in, a choice comes out.
//
// A choice of an engine is a filter, a score and a picker. The filter drops engines that cannot or should not take the
// text now; the score is the expected time of the text in units of the fastest pace, with small costs for connections and
// distance; the picker takes the lowest score.
package placement
