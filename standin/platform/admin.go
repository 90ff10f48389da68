package platform

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/settings"
	"github.com/radishshelf/radishshelf/standin/memory"
)

// Limits of the admin interface.
const (
	maxAdminBytes = 4 << 20
	maxAdminRows  = 1000
)

// FaultSettings is the JSON representation of the injected faults of one service.
type FaultSettings struct {
	Outage bool `json:"outage"`
	// LoseReplies is the number of upcoming writes whose reply is lost; -1 means all.
	LoseReplies int               `json:"lose_replies"`
	Delay       settings.Duration `json:"delay"`
}

// admin serves the admin interface.
type admin struct{ mem *memory.Platform }

func newAdmin(mem *memory.Platform) *admin { return &admin{mem: mem} }

func (a *admin) register(mux *http.ServeMux) {
	mux.HandleFunc("GET /admin/faults", a.listFaults)
	mux.HandleFunc("PUT /admin/faults/{service}", a.setFaults)
	mux.HandleFunc("GET /admin/orders", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, a.mem.Orders.List()) })
	mux.HandleFunc("GET /admin/usage", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, a.mem.Usage.List()) })
	mux.HandleFunc("GET /admin/objects", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, a.mem.Objects.List()) })
	mux.HandleFunc("GET /admin/rows", a.listRows)
	mux.HandleFunc("GET /admin/hosts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, a.mem.Hosts.Actual()) })
	mux.HandleFunc("PUT /admin/hosts", a.setHosts)
	mux.HandleFunc("PUT /admin/weights/{policy}/{version}", a.putWeights)
}

func (a *admin) listFaults(w http.ResponseWriter, _ *http.Request) {
	all := make(map[memory.Service]FaultSettings)
	for _, service := range memory.AllServices() {
		injector, _ := a.mem.FaultInjector(service)
		f := injector.Get()
		all[service] = FaultSettings{Outage: f.Outage, LoseReplies: f.LoseReplies, Delay: settings.Duration(f.Delay)}
	}
	writeJSON(w, all)
}

func (a *admin) setFaults(w http.ResponseWriter, r *http.Request) {
	injector, ok := a.mem.FaultInjector(memory.Service(r.PathValue("service")))
	if !ok {
		http.Error(w, fmt.Sprintf("service %q is unknown; use one of %v", r.PathValue("service"), memory.AllServices()),
			http.StatusNotFound)
		return
	}
	var request FaultSettings
	if !readJSON(w, r, &request) {
		return
	}
	injector.Set(memory.Faults{Outage: request.Outage, LoseReplies: request.LoseReplies, Delay: request.Delay.D()})
	writeJSON(w, request)
}

// listRows returns up to maxAdminRows rows whose keys start with the query parameter "prefix" and follow "after".
func (a *admin) listRows(w http.ResponseWriter, r *http.Request) {
	faults := a.mem.Table.Faults.Get()
	if faults.Outage {
		http.Error(w, "the table has an injected outage; clear the fault first", http.StatusServiceUnavailable)
		return
	}
	rows, err := a.mem.Table.Scan(r.Context(), r.URL.Query().Get("prefix"), r.URL.Query().Get("after"), maxAdminRows)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, rows)
}

func (a *admin) setHosts(w http.ResponseWriter, r *http.Request) {
	var hosts []hosting.Host
	if !readJSON(w, r, &hosts) {
		return
	}
	a.mem.Hosts.Set(hosts)
	writeJSON(w, hosts)
}

func (a *admin) putWeights(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseInt(r.PathValue("version"), 10, 64)
	if err != nil || version < 1 {
		http.Error(w, "the version is not a positive integer; write for example /admin/weights/fares/3", http.StatusBadRequest)
		return
	}
	blob, err := io.ReadAll(http.MaxBytesReader(w, r.Body, memory.MaxBlobBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	a.mem.Weights.Put(r.PathValue("policy"), version, blob)
}

func readJSON(w http.ResponseWriter, r *http.Request, target any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAdminBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(target); err != nil {
		http.Error(w, "decode the request body: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // fails only if the client has disconnected
}
