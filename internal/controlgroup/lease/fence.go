package lease

// Fence rejects actions under outdated tokens. Each receiver of a holder's actions has a Fence. The tokens seen must
// survive a restart of the receiver: when Admit reports a fresh token, the receiver stores Tokens before it carries
// out the action. The zero value has seen no token.
type Fence struct{ highest map[Duty]Token }

// Admit reports whether an action under a token may be carried out. fresh reports that the token is higher than all
// earlier tokens of the duty, and has to be stored first.
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

// Tokens returns the highest token seen for each duty. The caller must not change the map, and has to copy it to keep
// it beyond the next call of Admit.
func (f *Fence) Tokens() map[Duty]Token { return f.highest }

// Restore sets the tokens that the fence had seen before a restart. The fence owns the map from then on.
func (f *Fence) Restore(tokens map[Duty]Token) { f.highest = tokens }
