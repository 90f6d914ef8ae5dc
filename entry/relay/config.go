package relay

import (
	"context"
	"time"

	"github.com/tarragonbank/tarragonbank/entry/owner"
	"github.com/tarragonbank/tarragonbank/fleet/schema"
	"github.com/tarragonbank/tarragonbank/fleet/store"
)

// ConfigProof tells which configuration is in force at this entry, and how recently it was proved to be the one in the store.
type ConfigProof interface {
	// Proof returns the revision at which the store wrote the configuration, and a time within which the store held it at
	// some moment. The revision is 0 if there is no proof.
	Proof() (store.Revision, time.Duration)
	// Confirm records that the store held the configuration of the revision at some moment after t, a time since boot.
	Confirm(r store.Revision, t time.Duration)
	// Config returns the configuration in force, as it is stored, and its revision, 0 if there is none.
	Config() (store.Revision, []byte)
	// Learn puts a configuration that the store wrote at the revision into force, unless it is older than the one in force.
	Learn(r store.Revision, config []byte)
}

const (
	// configTimeout bounds the transfer of a configuration from the owner.
	configTimeout = 2 * time.Second
	// maxConfigBytes is the size from which a configuration is not passed on: on a slow link, it would hold up the calls that
	// share the channel.
	maxConfigBytes = 256 << 10
)

// configFollower takes over newer configurations of the owner, for an entry that the store does not answer.
type configFollower struct {
	// behind is set if the owner had a newer configuration at the last ping. The store's own answer usually comes before the
	// next one.
	behind bool
	// transfer holds a token while no transfer is under way.
	transfer chan struct{}
}

func newConfigFollower() configFollower {
	f := configFollower{transfer: make(chan struct{}, 1)}
	f.transfer <- struct{}{}
	return f
}

// followConfig asks the owner for its configuration if two pings in a row have told of a newer one than this entry's.
func (r *Relay) followConfig(ctx context.Context, k owner.Record, newest store.Revision) {
	own, _ := r.proof.Config()
	wasBehind := r.follower.behind
	r.follower.behind = newest > own
	if !r.follower.behind || !wasBehind {
		return
	}
	select {
	case <-r.follower.transfer:
	default:
		return
	}
	go func() {
		defer func() { r.follower.transfer <- struct{}{} }()
		c, stop := context.WithTimeout(ctx, configTimeout)
		defer stop()
		// Without an answer, a later ping leads to the next attempt.
		if m, _, err := r.owner.call(c, k.Address, &schema.JobCall{Kind: schema.JobCall_CONFIG}); err == nil && len(m.GetConfig()) > 0 {
			r.proof.Learn(store.Revision(m.ConfigRevision), m.Config)
		}
	}()
}

// configReply returns the reply to a call for the configuration in force.
func (r *Relay) configReply() *schema.JobReply {
	m := &schema.JobReply{}
	if r.proof == nil {
		return m
	}
	if v, b := r.proof.Config(); len(b) <= maxConfigBytes {
		m.ConfigRevision, m.Config = uint64(v), b
	}
	return m
}
