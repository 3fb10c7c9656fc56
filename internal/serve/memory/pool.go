package memory

// Pool bounds the bytes that the buffers of all its accounts hold beyond their allowances. The zero value has the
// limit 0.
type Pool struct {
	// Reclaim makes a holder of memory give up its buffers, and reports whether one did. It is called until the pool
	// fits. nil: no holder can.
	Reclaim func() bool

	limit, used int64
	reclaimed   int
}

// SetLimit changes the limit. If more is used, later calls of Fits free the excess.
func (p *Pool) SetLimit(bytes int64) { p.limit = bytes }

// Used returns the bytes that are charged to the pool.
func (p *Pool) Used() int64 { return p.used }

// Limit returns the limit in bytes.
func (p *Pool) Limit() int64 { return p.limit }

// Reclaimed returns how often a holder gave up its buffers.
func (p *Pool) Reclaimed() int { return p.reclaimed }

// Fits reclaims memory until the pool is within its limit. It returns false if that is not possible: then the caller,
// whose buffer has grown last, must give it up.
func (p *Pool) Fits() bool {
	for p.used > p.limit {
		if p.Reclaim == nil || !p.Reclaim() {
			return false
		}
		p.reclaimed++
	}
	return true
}

// Account is the part of a pool that one holder uses.
type Account struct {
	pool    *Pool
	charged int64
}

// NewAccount returns an account that holds nothing.
func (p *Pool) NewAccount() Account { return Account{pool: p} }

// SetHeld records the size of the holder's buffers. What is beyond Allowance is charged to the pool.
func (a *Account) SetHeld(bytes int64) {
	charged := max(bytes-Allowance, 0)
	a.pool.used += charged - a.charged
	a.charged = charged
}

// Charged returns the bytes that are charged to the pool.
func (a *Account) Charged() int64 { return a.charged }
