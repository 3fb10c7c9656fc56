package lease

// Fence rejects acts under outdated tokens. Whoever receives acts has one. What it has seen must outlive its
// process: the receiver stores Tokens before it carries out an act whose token Admit calls fresh. The
// zero value has seen nothing.
type Fence struct{ highest map[Duty]Token }

// Admit reports whether an act under a token may be carried out. fresh reports that the token is higher than any
// before it, and has to be stored first.
func (f *Fence) Admit(duty Duty, token Token) (ok, fresh bool) {
	highest := f.highest[duty]
	if token < highest {
		return false, false
	}
	if token <= highest {
		return true, false
	}
	if f.highest == nil {
		f.highest = map[Duty]Token{}
	}
	f.highest[duty] = token
	return true, true
}

// Tokens returns the highest token seen of each duty. The caller must not change the map, and has to copy it where
// it keeps it beyond the next Admit.
func (f *Fence) Tokens() map[Duty]Token { return f.highest }

// Restore sets what the fence had seen before its process ended. The fence owns the map from then on.
func (f *Fence) Restore(tokens map[Duty]Token) { f.highest = tokens }
