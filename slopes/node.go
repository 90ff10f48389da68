package slopes

import (
	"context"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/configstore"
	"github.com/radishshelf/radishshelf/configsync"
	"github.com/radishshelf/radishshelf/entry"
	"github.com/radishshelf/radishshelf/entry/peer"
	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/rpc"
	"github.com/radishshelf/radishshelf/usage"
)

// peerTimeout is that of radishshelf-entry.
const peerTimeout = 2 * time.Second

// node is the control part of one entry on loopback: configuration, views and peer port.
type node struct {
	name, address string
	fleet         *entry.Fleet
	syncer        *configsync.Syncer
	retainer      *usage.Retainer
	server        *http.Server
	traffic       *traffic
}

// place names the data centre and region of the i-th process.
func place(i, dataCentres int) (dataCentre, region string) {
	dc := i % dataCentres
	return fmt.Sprintf("dc-%d", dc), fmt.Sprintf("region-%d", dc%min(dataCentres, 2))
}

// newNode serves the peer port of an entry; run starts its loops.
func newNode(i, dataCentres int, table hosting.Table, known []string) (*node, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	dc, region := place(i, dataCentres)
	n := &node{
		name: "entry-" + strconv.Itoa(i), address: listener.Addr().String(), traffic: &traffic{},
		fleet: entry.NewFleet(dc, region, rand.New(rand.NewSource(int64(i)))),
	}
	n.retainer = usage.NewRetainer(n.name, maxRetained)
	roles := peer.NewRoleView(func() []*rpc.RoleInfo {
		return []*rpc.RoleInfo{
			{Role: "orders", Holder: "entry-1/8b9c7a52", Term: 3}, {Role: "usage", Holder: "entry-2/8b9c7a52", Term: 4},
			{Role: "rollout", Holder: "entry-3/8b9c7a52", Term: 5}, {Role: "quota", Holder: "entry-4/8b9c7a52", Term: 6},
		}
	})
	n.syncer = configsync.New(configsync.Options{
		Name: n.name, PeerAddress: n.address, DataCentre: dc, Region: region, Incarnation: "7d4a1c0e-" + strconv.Itoa(i),
		Peers: known, Source: configstore.New(table), Dial: peer.NewDialer("", nil, peerTimeout).Dial,
		Participants: []configsync.Participant{peer.NewParticipant(n.fleet, roles, nil)}, Logger: zerolog.Nop(),
	})
	service := peer.NewServer(peer.Options{
		Name: n.name, Syncer: n.syncer, Members: n.fleet, Roles: roles, Usage: n.retainer, Log: zerolog.Nop(),
	})
	n.server = peer.NewHTTPServer(service, "", nil)
	handler := n.server.Handler
	n.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.traffic.requests.Add(1)
		handler.ServeHTTP(w, r)
	})
	go func() { _ = n.server.Serve(countedListener{listener, n.traffic}) }()
	return n, nil
}

// maxRetained is that of radishshelf-entry.
const maxRetained = 100_000

func (n *node) run(ctx context.Context) { go func() { _ = n.syncer.Run(ctx) }() }

func (n *node) close() { _ = n.server.Close() }
