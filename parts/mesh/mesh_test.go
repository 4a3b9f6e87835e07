package mesh_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"camphormill.dev/parts/mesh"
)

func freeAddress(t *testing.T) string {
	t.Helper()
	probe, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = probe.Close() }()
	return probe.LocalAddr().String()
}

// TestAddressChangeWhileSending changes the address of a host while messages are sent
// to it. It guards against reading the address without the lock, which the race
// detector reports: a datagram could go to a mixture of the old and the new address.
func TestAddressChangeWhileSending(t *testing.T) {
	is := is.New(t)
	m, err := mesh.Listen(mesh.Config{
		Self: mesh.Host{Name: "a", Role: mesh.RoleEntry, Address: freeAddress(t)}, PeerTimeout: time.Second, Now: time.Now,
		Handle: func(mesh.Host, mesh.Message) {}, Log: zerolog.Nop(),
	})
	is.NoErr(err)
	go m.Run(t.Context())
	joined := make(chan struct{})
	directory := mesh.Directory{
		Register: func(context.Context, mesh.Host) error { return nil },
		Hosts: func(context.Context) ([]mesh.Host, error) {
			defer close(joined)
			return []mesh.Host{{Name: "b", Role: mesh.RoleEntry, Address: freeAddress(t)}}, nil
		},
	}
	go m.Join(t.Context(), directory)
	<-joined
	conn, err := net.Dial("udp4", m.Self().Address)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 300 {
			m.Send("b", mesh.Message{Heartbeat: &mesh.Heartbeat{Ready: true}})
			time.Sleep(time.Millisecond)
		}
	}()
	for n := range 300 {
		_, err := fmt.Fprintf(conn, `{"from":"b","host":{"name":"b","role":"entry","address":"127.0.0.1:%d"}}`, 20000+n)
		is.NoErr(err)
		time.Sleep(time.Millisecond)
	}
	<-done
}
