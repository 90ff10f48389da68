package fleet

import (
	"cmp"
	"fmt"
)

// Lease timing of a fleet. A takeover takes about three seconds.
const (
	leaseDuration  = "2s"
	actWindow      = "1s"
	renewInterval  = "400ms"
	pauseTolerance = "1s"
)

// tokensPerSecond is the generation rate of an engine slot.
const tokensPerSecond = 800

func (f *Fleet) addEntries() {
	f.t.Helper()
	for i, dataCentre := range f.opts.Entries {
		f.Entries = append(f.Entries, &Entry{
			CallerAddress: allocateAddress(f.t), OperatorAddress: allocateAddress(f.t),
			PeerAddress: allocateAddress(f.t), StatusAddress: allocateAddress(f.t), DataCentre: dataCentre,
			Process: &Process{Name: fmt.Sprintf("entry-%d", i+1)},
		})
	}
	advertisedPeers := f.advertisedPeerAddresses()
	for i, e := range f.Entries {
		platform := f.Platform.Address
		if i+1 == f.opts.RelayEntry {
			platform = f.addRelay(platform)
		}
		s := Settings{
			"name": e.Name, "data_centre": e.DataCentre, "region": e.DataCentre, "status_address": e.StatusAddress,
			"caller_address": e.CallerAddress, "operator_address": e.OperatorAddress, "peer_address": e.PeerAddress,
			"platform_address": platform, "peers": advertisedPeers, "claims_per_second": 50, "readiness_delay": "1s",
			"usage_grace": "2s", "usage_interval": "200ms", "host_list_interval": "1s",
			"lease_duration": leaseDuration, "act_window": actWindow, "renew_interval": renewInterval,
			"pause_tolerance": pauseTolerance,
		}
		if f.opts.RelayEntry > 0 {
			s["advertised_peer_address"] = advertisedPeers[i]
		}
		e.Process = f.startProcess(e.Name, entryProgram, s)
	}
}

// advertisedPeerAddresses returns the addresses at which the entries reach each other. They are relays if RelayEntry is set.
func (f *Fleet) advertisedPeerAddresses() []string {
	f.t.Helper()
	var list []string
	for _, e := range f.Entries {
		peer := e.PeerAddress
		if f.opts.RelayEntry > 0 {
			peer = f.addRelay(peer)
		}
		list = append(list, peer)
	}
	return list
}

// addRelay starts a relay to target and returns its address.
func (f *Fleet) addRelay(target string) string {
	f.t.Helper()
	r := NewRelay(f.t, target)
	f.Relays = append(f.Relays, r)
	return r.Address
}

func (f *Fleet) addEngine(number int, dataCentre string) {
	f.t.Helper()
	name, engine := fmt.Sprintf("engine-%d", number), allocateAddress(f.t)
	p := f.startProcess(name, engineProgram, Settings{
		"address": engine, "policy": Policy, "initial_version": 1, "slots": 8, "tokens_per_second": tokensPerSecond,
		"stage_time": "100ms", "activate_time": "20ms", "check_fencing": true, "crash_marker": f.opts.CrashMarker,
	})
	target := engine
	if f.opts.RecordEngines {
		recorder := newRecorder(f.t, engine)
		f.Recorders = append(f.Recorders, recorder)
		target = recorder.Address
	}
	u := f.addAgent(p, name, dataCentre, target, "engine", Policy)
	u.URL = "http://" + engine
	f.Engines = append(f.Engines, u)
}

func (f *Fleet) addDesk(number int, dataCentre string) {
	f.t.Helper()
	name, desk := fmt.Sprintf("desk-%d", number), allocateAddress(f.t)
	p := f.startProcess(name, serviceProgram, Settings{"address": desk, "delay": "20ms"})
	f.Desks = append(f.Desks, f.addAgent(p, name, dataCentre, desk, "service", deskService))
}

// addAgent starts the agent of an upstream. target is the address at which the agent reaches it.
func (f *Fleet) addAgent(upstream *Process, name, dataCentre, target, kind, serves string) *Upstream {
	f.t.Helper()
	status := allocateAddress(f.t)
	var entries []string
	for _, e := range f.Entries {
		entries = append(entries, e.PeerAddress)
	}
	agent := f.startProcess("agent-"+name, agentProgram, Settings{
		"name": name, "data_centre": dataCentre, "region": dataCentre, "status_address": status,
		"agent_address": allocateAddress(f.t), "control_address": allocateAddress(f.t), "upstream_url": "http://" + target,
		"kind": kind, "serves": serves, "slots": 8, "queue_limit": 32, "entries": entries,
		"platform_address": f.Platform.Address, "usage_flush_interval": cmp.Or(f.opts.UsageFlushInterval, "500ms"),
	})
	return &Upstream{Process: upstream, Agent: agent, URL: "http://" + target, agentStatusAddress: status}
}

func (f *Fleet) addTrainer() {
	f.t.Helper()
	admin := allocateAddress(f.t)
	secret := f.GrantTrainerKey()
	f.Trainer = f.startProcess("trainer", trainerProgram, Settings{
		"admin_address": admin, "service_url": "http://" + f.Entries[len(f.Entries)-1].CallerAddress, "trainer": TrainerName,
		"key": secret, "initial_version": 1, "train_time": "50ms", "pull_wait": "1s", "retry_interval": "200ms",
		"publish_versions": false,
	})
	f.TrainerURL = "http://" + admin
}
