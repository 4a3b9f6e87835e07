package link

import (
	"context"
	"net"
	"sync"
)

// Cache holds one connection to each address and dials it on first use. It keeps a
// lost connection until the caller removes it with Remove. It is safe for concurrent
// use.
type Cache struct {
	Dial    func(ctx context.Context, address string) (net.Conn, error)
	Methods func() Methods // methods served to the peers; nil for none
	// Max is how many connections are kept; 0 sets no bound. Beyond it, the one that was used longest ago is closed.
	Max int

	mu     sync.Mutex
	conns  map[string]*Conn
	usedAt map[string]uint64 // number of the last use by address
	uses   uint64
}

// Get returns the connection to an address, which may be lost by now, and dials the
// address if there is none. The error is that of Dial.
func (c *Cache) Get(ctx context.Context, address string) (*Conn, error) {
	c.mu.Lock()
	conn := c.conns[address]
	if conn != nil {
		c.recordUse(address)
	}
	c.mu.Unlock()
	if conn != nil {
		return conn, nil
	}
	raw, err := c.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	var methods Methods
	if c.Methods != nil {
		methods = c.Methods()
	}
	return c.store(address, NewConn(raw, methods)), nil
}

// store stores a new connection and returns it. If a concurrent Get has stored one
// before, store closes the new connection and returns the stored one.
func (c *Cache) store(address string, conn *Conn) *Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if existing := c.conns[address]; existing != nil {
		conn.Close()
		return existing
	}
	if c.conns == nil {
		c.conns, c.usedAt = map[string]*Conn{}, map[string]uint64{}
	}
	c.makeRoom()
	c.conns[address] = conn
	c.recordUse(address)
	return conn
}

// recordUse records that the connection to an address is used. The caller holds the lock.
func (c *Cache) recordUse(address string) {
	c.uses++
	c.usedAt[address] = c.uses
}

// makeRoom closes the connection that was used longest ago if there are Max. The caller holds the lock.
func (c *Cache) makeRoom() {
	if c.Max <= 0 || len(c.conns) < c.Max {
		return
	}
	oldest := ""
	for address := range c.conns {
		if oldest == "" || c.usedAt[address] < c.usedAt[oldest] {
			oldest = address
		}
	}
	c.conns[oldest].Close()
	delete(c.conns, oldest)
	delete(c.usedAt, oldest)
}

// Remove closes and removes a connection that failed, so that the next Get dials a
// new one. If the cache already holds a newer connection to the address, that one
// stays.
func (c *Cache) Remove(address string, conn *Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[address] == conn {
		delete(c.conns, address)
		delete(c.usedAt, address)
	}
	conn.Close()
}

// Close closes and removes all connections.
func (c *Cache) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		conn.Close()
	}
	c.conns, c.usedAt = nil, nil
}
