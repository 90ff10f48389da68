// Package relaypb holds the generated messages and the twirp service of the relay between gateways.
package relaypb
