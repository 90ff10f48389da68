// Command cases plays the scripted cases of the review. Each case starts gateways as separate processes beside stand-ins of
// the platform's store, its duty API, its servers and its clients, all on loopback addresses, and judges what clients and
// servers saw.
package main
