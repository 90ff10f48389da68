package slopes

import (
	"context"
	"fmt"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/standin/httpapi"
	"github.com/radishshelf/radishshelf/standin/memory"
)

// measureHostList shows what one read of the host list costs; every entry reads it every 5 s by default.
func measureHostList(r *Report) error {
	r.heading("hosts: one read of the platform's host list by hosts, both ends over loopback")
	bytes := newSeries("hosts.bytes_per_read", "hosts", "B")
	cpu := newSeries("hosts.cpu_per_read", "hosts", "us")
	for _, size := range []int{20, 250, 1030} {
		p := memory.New(memory.Options{Hosts: hostsOf(size)})
		count := &traffic{}
		s, err := serveCounted(httpapi.NewHandler(p.Services()), count)
		if err != nil {
			return err
		}
		services := httpapi.NewServices(s.address, httpapi.Options{})
		if _, err := services.Hosts.List(context.Background()); err != nil {
			return err
		}
		before := count.bytes()
		const reads = 50
		cpu.add(size, costOfEach(reads, func(int) { _, _ = services.Hosts.List(context.Background()) }))
		bytes.add(size, (count.bytes()-before)/reads)
		_ = s.server.Close()
	}
	r.print(bytes, cpu)
	return nil
}

func hostsOf(count int) []hosting.Host {
	var list []hosting.Host
	for i := range count {
		dc, region := place(i, 8)
		list = append(list, hosting.Host{
			Name: fmt.Sprintf("engine-%04d", i), Address: fmt.Sprintf("10.1.%d.%d:7201", i/250, i%250), DataCentre: dc,
			Region: region, Role: hosting.HostUpstream, State: hosting.HostLive,
		})
	}
	return list
}
