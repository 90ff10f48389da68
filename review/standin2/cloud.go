package standin2

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// DutyCall is a call of a singleton duty as the platform sees it.
type DutyCall struct {
	At      time.Time
	Path    string
	Subject string
	Holder  string
	Token   int64
	Body    string
}

// Cloud is the platform's duty API. It accepts every call.
type Cloud struct {
	mu    sync.Mutex
	calls []DutyCall
	// OnCall is called for each call before it is answered; may be nil.
	OnCall func(DutyCall)
}

// ServeHTTP implements http.Handler.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	token, _ := strconv.ParseInt(r.Header.Get("Radishshelf-Fencing-Token"), 10, 64)
	call := DutyCall{At: time.Now(), Path: r.URL.Path, Subject: "usage", Holder: r.Header.Get("Radishshelf-Duty-Holder"), Token: token, Body: string(data)}
	if r.URL.Path == "/scale" {
		var order struct{ Service, Zone string }
		_ = json.Unmarshal(data, &order)
		call.Subject = "scale " + order.Service + " " + order.Zone
	}
	c.mu.Lock()
	c.calls = append(c.calls, call)
	c.mu.Unlock()
	if c.OnCall != nil {
		c.OnCall(call)
	}
	w.WriteHeader(http.StatusOK)
}

// Calls returns the calls so far.
func (c *Cloud) Calls() []DutyCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]DutyCall(nil), c.calls...)
}
