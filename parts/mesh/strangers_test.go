package mesh_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"camphormill.dev/parts/mesh"
)

// strangersMesh is a mesh that receives what deliver is called with.
func strangersMesh(t *testing.T) (m *mesh.Mesh, deliver func(mesh.Message)) {
	t.Helper()
	is := is.New(t)
	datagrams := make(chan []byte)
	m, err := mesh.Listen(mesh.Config{
		Self: mesh.Host{Name: "e0", Role: mesh.RoleEntry}, PeerTimeout: time.Minute, Now: time.Now, Log: zerolog.Nop(),
		Handle: func(mesh.Host, mesh.Message) {},
		Socket: &mesh.Socket{
			Receive: func(buffer []byte) (int, error) {
				select {
				case datagram := <-datagrams:
					return copy(buffer, datagram), nil
				case <-t.Context().Done():
					return 0, net.ErrClosed
				}
			},
			Send:  func([]byte, netip.AddrPort) error { return nil },
			Close: func() error { return nil },
		},
	})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go m.Run(ctx)
	deliver = func(message mesh.Message) {
		raw, err := json.Marshal(message)
		is.NoErr(err)
		datagrams <- raw
	}
	return m, deliver
}

func strangersHost(name string) mesh.Host {
	return mesh.Host{Name: name, Role: mesh.RoleTarget, Address: "127.0.0.1:9"}
}

func introduce(deliver func(mesh.Message), name string) {
	h := strangersHost(name)
	deliver(mesh.Message{From: name, Host: &h})
}

// maxStrangersHosts is the bound on known hosts that the tests allow.
const maxStrangersHosts = 8192

// TestStrangersHostsDoNotFillMesh guards against memory that grows with the names that datagrams list, and against
// a known host that is pushed out by them.
func TestStrangersHostsDoNotFillMesh(t *testing.T) {
	is := is.New(t)
	m, deliver := strangersMesh(t)
	introduce(deliver, "known")
	for i := range 400 {
		var hosts []mesh.Host
		for j := range 100 {
			hosts = append(hosts, strangersHost(fmt.Sprintf("stranger-%d-%d", i, j)))
		}
		deliver(mesh.Message{From: "known", Hosts: hosts})
	}
	introduce(deliver, "newcomer")
	deliver(mesh.Message{From: "known", Heartbeat: &mesh.Heartbeat{Ready: true}})
	deliver(mesh.Message{}) // everything before has been handled
	is.True(len(m.Known(mesh.RoleTarget)) <= maxStrangersHosts)
	is.Equal(len(m.Alive(mesh.RoleTarget)), 2) // known and newcomer
}

// TestStrangersIntroductionsPushOutNoKnownHost guards against a live host that is forgotten for the sake of others.
func TestStrangersIntroductionsPushOutNoKnownHost(t *testing.T) {
	is := is.New(t)
	m, deliver := strangersMesh(t)
	introduce(deliver, "known")
	for i := range 40_000 {
		introduce(deliver, fmt.Sprint("stranger-", i))
	}
	deliver(mesh.Message{})
	hosts := m.Alive(mesh.RoleTarget)
	is.True(len(hosts) <= maxStrangersHosts)
	is.Equal(hosts[0].Name, "known")
}

// TestOverlongHostIsIgnored guards against hosts whose records take kilobytes each.
func TestOverlongHostIsIgnored(t *testing.T) {
	is := is.New(t)
	m, deliver := strangersMesh(t)
	introduce(deliver, strings.Repeat("x", 10<<10))
	zone := strangersHost("zone")
	zone.Zone = strings.Repeat("x", 10<<10)
	deliver(mesh.Message{From: "zone", Host: &zone})
	introduce(deliver, "known")
	deliver(mesh.Message{})
	is.Equal(len(m.Known(mesh.RoleTarget)), 1)
}
