// Package configsync keeps the configuration of one entry up to date and decides whether it is fresh enough to serve
// keyed requests, that is, requests authenticated by a key that may have been withdrawn.
//
// In each data centre, the two highest-ranked live entries read the head of the configuration from the table every
// second. The other entries pull from peers. New revisions are pushed immediately. No clocks are compared: a
// confirmation is sent as an age, and the receiver counts it from the time before it sent its request.
package configsync
