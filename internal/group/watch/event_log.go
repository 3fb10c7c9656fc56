// Package watch decides, for a group in which one balancer asks discovery for many, who asks now and
// which lists are taken. It is pure: the clock is an argument, and a list is bytes that it never reads.
//
// A change is told to a balancer when its own call to discovery brought it, or when the holder's list
// reached it. A balancer that hears nothing from a holder for Terms.Silent, and by chance for up to
// Terms.Spread longer, asks discovery itself until it hears again: so without the group, or with a slow
// or stopped holder, all are back at asking for themselves, and not at the same moment.
package watch

import (
	"errors"
	"math/rand/v2"
	"time"

	"piernotch/internal/group"
)

// Timing are the times that holder and followers go by.
type Timing struct {
	HeartbeatInterval time.Duration // a holder whose watch stands says so this often
	HeartbeatTimeout  time.Duration // a holder that says nothing for so long is not relied on
	TimeoutJitter     time.Duration // a follower waits by chance up to so much longer
	PollTimeout       time.Duration // a holder whose own call brought nothing for so long does not say that its watch stands
}

// DefaultTiming is what the group's members use. A change that the holder was told of and could not pass on
// is asked for by the others within Silent and Spread, which stays under the six seconds after which
// discovery's word counts as told.
var DefaultTiming = Timing{HeartbeatInterval: 500 * time.Millisecond, HeartbeatTimeout: 2 * time.Second, TimeoutJitter: 2 * time.Second, PollTimeout: 7 * time.Second}

// Bounds on what a feed keeps.
const (
	MaxBodySize = 512 << 10 // bytes of one post
	mostChanges = 256       // posts behind a whole list
)

// Errors of a post.
var (
	ErrStaleToken = errors.New("a later holder has spoken")
	ErrVersionGap = errors.New("a whole list is needed first")
	ErrTooLarge   = errors.New("a list of over 512 KiB is not passed on")
)

// EventLog is a whole list and what has changed since, under the token of who brought it. The zero value is
// empty. Who leads the group keeps one for each duty; so does whoever asks discovery.
type EventLog struct {
	token   uint64
	source  string
	version uint64
	posts   []group.WatchEvent // a whole one first
}

// Append adds a post. A holder's whole list replaces what an earlier holder brought; a change has to
// follow what is there.
func (f *EventLog) Append(token uint64, p group.WatchEvent) error {
	switch {
	case token < f.token:
		return ErrStaleToken
	case len(p.Body) > MaxBodySize:
		return ErrTooLarge
	case p.Whole:
		if token == f.token && p.Source == f.source && p.ToVersion < f.version {
			return ErrStaleToken
		}
		f.token, f.source, f.version, f.posts = token, p.Source, p.ToVersion, append(f.posts[:0:0], p)
		return nil
	case len(f.posts) == 0 || p.Source != f.source || p.FromVersion != f.version || !p.IsHeartbeat() && len(f.posts) > mostChanges:
		return ErrVersionGap
	}
	f.token, f.version = token, p.ToVersion
	if !p.IsHeartbeat() {
		f.posts = append(f.posts, p)
	}
	return nil
}

// Since returns what leads from a version to the last one; all of it where the version is not known here.
func (f *EventLog) Since(source string, version uint64) []group.WatchEvent {
	if source == f.source {
		for i, p := range f.posts {
			if p.ToVersion == version {
				return f.posts[i+1:]
			}
		}
	}
	return f.posts
}

// Token returns under which the last post was published.
func (f *EventLog) Token() uint64 { return f.token }

// Version returns where a feed has come to, and whether it holds anything.
func (f *EventLog) Version() (source string, version uint64, any bool) {
	return f.source, f.version, len(f.posts) > 0
}

// Follower is a balancer that may rely on another's watch.
type Follower struct {
	terms Timing
	rng   *rand.Rand
	token uint64
	until time.Duration // the holder is relied on until then
	alone bool
}

// NewFollower returns one that gives a holder its first chance from now on.
func NewFollower(terms Timing, rng *rand.Rand, now time.Duration) *Follower {
	f := &Follower{terms: terms, rng: rng}
	f.wait(now)
	return f
}

func (f *Follower) wait(now time.Duration) {
	f.until = now + f.terms.HeartbeatTimeout + time.Duration(f.rng.Int64N(int64(f.terms.TimeoutJitter)))
}

// Heartbeat notes that something came from a holder. It is false for one that has been replaced: its lists
// are not taken, and its word keeps nobody from asking.
func (f *Follower) Heartbeat(now time.Duration, token uint64) bool {
	if token < f.token {
		return false
	}
	f.token = token
	f.wait(now)
	return true
}

// ShouldPoll tells whether this balancer asks discovery itself: it holds the duty, or relies on nobody.
func (f *Follower) ShouldPoll(now time.Duration, holds bool) bool {
	f.alone = now >= f.until
	return holds || f.alone
}

// Independent tells whether nobody was relied on when Asks was last called.
func (f *Follower) Independent() bool { return f.alone }

// Holder is the side that asks for all: whether it may say that its watch stands.
type Holder struct {
	terms Timing
	heard time.Duration // when its call last brought something
	fails bool
	beat  time.Duration // when it last said so
}

// NewHolder returns the state of a watch that stands as far as anybody knows.
func NewHolder(terms Timing, now time.Duration) *Holder { return &Holder{terms: terms, heard: now} }

// PollSucceeded notes that a call brought something, if only that nothing has changed.
func (h *Holder) PollSucceeded(now time.Duration) { h.heard, h.fails = now, false }

// PollFailed notes that a call failed.
func (h *Holder) PollFailed() { h.fails = true }

// Healthy tells whether the watch can be relied on.
func (h *Holder) Healthy(now time.Duration) bool {
	return !h.fails && now < h.heard+h.terms.PollTimeout
}

// HeartbeatDue tells whether it is time to say that the watch stands.
func (h *Holder) HeartbeatDue(now time.Duration) bool {
	if !h.Healthy(now) || now < h.beat+h.terms.HeartbeatInterval {
		return false
	}
	h.beat = now
	return true
}
