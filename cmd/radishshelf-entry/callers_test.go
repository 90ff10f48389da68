package main

import (
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against callers that keep others out by connections on which they send nothing: more of them than the port has, and
// an ordinary request that is answered beside them.
func TestIdleCallersMakeRoom(t *testing.T) {
	c := startTestCluster(t)
	s := c.entries[0].settings
	s.Name, s.MaxConnections = "entry-3", 2
	c.start(s)
	address := c.entries[2].listeners.caller.Addr().String()
	for range 3 {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	client := http.Client{Transport: callerTransport, Timeout: 5 * time.Second}
	resp, err := client.Get("http://" + address + "/book")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusUnauthorized {
		t.Errorf("got status %d, want a refusal of a request without a key", resp.StatusCode)
	}
}
