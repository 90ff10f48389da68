// Package configsync keeps the configuration of one entry up to date and decides whether it is fresh enough to serve
// keyed work.
//
// In each data centre the two highest-ranked live entries read the head of the configuration from the table each
// second. The others pull from peers. New revisions are pushed at once. No clocks are compared: a confirmation travels
// as an age, and the receiver counts from before it sent its question.
package configsync
