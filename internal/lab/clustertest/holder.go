// Package clustertest plays the control group on real processes: voters with a disk of their
// own, holders that act under their duties, and a relay in every link. The schedules are those of
// groupmodel; the judge sits in the rig and knows acts and calls alone.
package clustertest

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"piernotch/internal/group"
	"piernotch/internal/group/client"
	"piernotch/internal/group/lease"
	"piernotch/internal/group/protocol"
)

// line is what a holder says to the rig: an act, or a call and its answer.
type line struct {
	Name  string `json:"name"`
	Act   *act   `json:"act,omitempty"`
	Call  *call  `json:"call,omitempty"`
	Ready bool   `json:"ready,omitempty"`
}

// act is done under a token by who looked at the clock at Looked, in Unix nanoseconds.
type act struct {
	Duty   lease.Duty `json:"duty"`
	Token  uint64     `json:"token"`
	Looked int64      `json:"looked"`
}

// call is a question and the group's answer.
type call struct {
	Kind     protocol.Kind `json:"kind"`
	Command  lease.Command `json:"command"`
	Asked    int64         `json:"asked"`
	Answered int64         `json:"answered"`
	Grant    lease.Grant   `json:"grant"`
	Err      string        `json:"err,omitempty"`
}

// each is how often a holder acts.
const each = 20 * time.Millisecond

// Act is the program of a holder: it wants the duties of its file, and acts under what it holds, until
// the context ends.
func Act(ctx context.Context, file, rig string) error {
	cfg, err := group.LoadFile(file)
	if err != nil {
		return err
	}
	nc, err := net.Dial("tcp", rig)
	if err != nil {
		return err
	}
	defer nc.Close()
	var mu sync.Mutex
	enc := json.NewEncoder(nc)
	say := func(l line) {
		mu.Lock()
		defer mu.Unlock()
		l.Name = cfg.Self
		_ = enc.Encode(l) // a rig that is gone has ended
	}
	m := client.Start(cfg, func(r client.RequestRecord) {
		if r.Err != nil || !protocol.IsFinal(r.Response.Err) {
			return
		}
		c := &call{Kind: r.Request.Kind, Command: r.Request.Command, Asked: r.SentAt.UnixNano(), Answered: r.ReceivedAt.UnixNano(), Grant: r.Response.Grant}
		if r.Response.Err != nil {
			c.Err = r.Response.Err.Error()
		}
		say(line{Call: c})
	})
	ticker := time.NewTicker(each)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			m.Close(500 * time.Millisecond)
			return nil
		case <-ticker.C:
		}
		for _, d := range cfg.Duties {
			looked := time.Now().UnixNano()
			if token, may := m.Token(lease.Duty(d)); may {
				say(line{Act: &act{lease.Duty(d), token, looked}})
			}
		}
	}
}
