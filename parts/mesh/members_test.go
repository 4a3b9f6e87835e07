package mesh_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"camphormill.dev/parts/mesh"
)

// TestMemberCountDoesNotShrinkDuringCut guards against entries that take a larger share of what the fleet may do because
// others that run on are cut off from them, and against shares that shrink for good with each host that is replaced.
func TestMemberCountDoesNotShrinkDuringCut(t *testing.T) {
	is := is.New(t)
	begin := time.Date(2026, 12, 5, 9, 0, 0, 0, time.UTC)
	var elapsed atomic.Int64
	now := func() time.Time { return begin.Add(time.Duration(elapsed.Load())) }
	datagrams, handled := make(chan []byte), make(chan struct{})
	m, err := mesh.Listen(mesh.Config{
		Self: mesh.Host{Name: "e0", Role: mesh.RoleEntry}, PeerTimeout: time.Second, Now: now, Log: zerolog.Nop(),
		Handle: func(mesh.Host, mesh.Message) { handled <- struct{}{} },
		Socket: &mesh.Socket{
			Receive: func(buffer []byte) (int, error) {
				datagram, ok := <-datagrams
				if !ok {
					return 0, net.ErrClosed
				}
				return copy(buffer, datagram), nil
			},
			Send:  func([]byte, netip.AddrPort) error { return nil },
			Close: func() error { close(datagrams); return nil },
		},
	})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go m.Run(ctx)
	is.True(!m.Joined())
	listed := []mesh.Host{{Name: "gone", Role: mesh.RoleEntry, Address: "127.0.0.1:1"}, {Name: "t1", Role: mesh.RoleTarget, Address: "127.0.0.1:2"}}
	for i := 1; i < 20; i++ {
		listed = append(listed, mesh.Host{Name: fmt.Sprint("e", i), Role: mesh.RoleEntry, Address: fmt.Sprint("127.0.0.1:", 100+i)})
	}
	joinContext, stopJoin := context.WithCancel(ctx)
	m.Join(joinContext, mesh.Directory{
		Register: func(context.Context, mesh.Host) error { return nil },
		Hosts: func(context.Context) ([]mesh.Host, error) {
			stopJoin()
			return listed, nil
		},
	})
	is.True(m.Joined())
	is.Equal(m.MemberCount(mesh.RoleEntry), 21) // "gone" may be running
	for i := 1; i < 20; i++ {
		raw, err := json.Marshal(mesh.Message{From: fmt.Sprint("e", i), Heartbeat: &mesh.Heartbeat{Ready: true}})
		is.NoErr(err)
		datagrams <- raw
		<-handled
	}
	elapsed.Store(int64(time.Hour)) // all others are cut off
	m.DetectLost()
	is.Equal(len(m.Alive(mesh.RoleEntry)), 0)
	is.Equal(m.MemberCount(mesh.RoleEntry), 20)
	elapsed.Store(int64(3 * time.Hour))
	is.Equal(m.MemberCount(mesh.RoleEntry), 1)
}

func BenchmarkMemberCount(b *testing.B) {
	m, err := mesh.Listen(mesh.Config{
		Self: mesh.Host{Name: "e0", Role: mesh.RoleEntry}, Now: time.Now, Log: zerolog.Nop(),
		Socket: &mesh.Socket{Send: func([]byte, netip.AddrPort) error { return nil }},
	})
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(b.Context())
	m.Join(ctx, mesh.Directory{
		Register: func(context.Context, mesh.Host) error { return nil },
		Hosts: func(context.Context) (hosts []mesh.Host, _ error) {
			cancel()
			for i := range 7000 {
				role := mesh.RoleTarget
				if i < 400 {
					role = mesh.RoleEntry
				}
				hosts = append(hosts, mesh.Host{Name: fmt.Sprint("h", i), Role: role, Address: fmt.Sprint("127.0.0.1:", 1000+i)})
			}
			return hosts, nil
		},
	})
	for b.Loop() {
		m.MemberCount(mesh.RoleEntry)
	}
}
