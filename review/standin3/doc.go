// Command standin3 plays the cases of the third review that need real processes: it starts gateways with the command of the
// deploy file beside stand-ins of the platform, of engines and services, and of a trainer, and checks the rule of the case by
// what the stand-ins have seen.
package main
