package soak

import (
	"context"
	"sync"
	"time"

	"github.com/tarragonbank/tarragonbank/bench/jobsite"
	"github.com/tarragonbank/tarragonbank/bench/proxy"
)

const (
	minConfigPause = 300 * time.Millisecond
	maxConfigPause = 3 * time.Second
	// Changes come in series of up to maxConfigSeries, with up to maxConfigGap between them.
	maxConfigSeries = 5
	maxConfigGap    = 700 * time.Millisecond
	// maxStoreHold bounds how long a link to the store is held while the configuration changes.
	maxStoreHold = 9 * time.Second
)

// configFaults are the faults during which the configuration changes. The function may return one that ends the fault.
var configFaults = []fault{
	{"no fault", func(*run) func() { return nil }},
	{"all connections to the store silent", allStoreConnectionsSilent},
	{"connections of an entry to the store silent", func(r *run) func() {
		r.silenceStoreConnections(r.configEntry())
		return nil
	}},
	{"history dropped", storeCompacts},
	{"history dropped and the store held from an entry", func(r *run) func() {
		end := r.setStoreLinkFault(r.configEntry(), proxy.Fault{Hold: true})
		r.site.Platform.Store.Compact()
		return end
	}},
	{"store cut from an entry", func(r *run) func() { return r.setStoreLinkFault(r.configEntry(), proxy.Fault{Cut: true}) }},
}

func (r *run) configEntry() *jobsite.Entry {
	return r.site.Entries[r.configRandom.IntN(len(r.site.Entries))]
}

// changeConfigs changes the configuration in series, each during a fault, until the context ends. It draws from a stream of its
// own so that the other faults of a seed do not depend on it.
func (r *run) changeConfigs(ctx context.Context) {
	var active sync.WaitGroup
	defer active.Wait()
	for ctx.Err() == nil {
		f := configFaults[r.configRandom.IntN(len(configFaults))]
		hold := time.Duration(r.configRandom.Int64N(int64(maxStoreHold)))
		if end := f.inject(r); end != nil {
			r.recordFault("changes with "+f.name, hold)
			active.Add(1)
			time.AfterFunc(hold, func() {
				defer active.Done()
				end()
			})
		} else {
			r.recordFault("changes with "+f.name, 0)
		}
		for range 1 + r.configRandom.IntN(maxConfigSeries) {
			if ctx.Err() != nil {
				return
			}
			configChanges(r)
			wait(ctx, time.Duration(r.configRandom.Int64N(int64(maxConfigGap))))
		}
		wait(ctx, minConfigPause+time.Duration(r.configRandom.Int64N(int64(maxConfigPause-minConfigPause))))
	}
}

func allStoreConnectionsSilent(r *run) func() {
	for _, e := range r.site.Entries {
		r.silenceStoreConnections(e)
	}
	return nil
}

// silenceStoreConnections is a fault of a moment: the entry has to replace the connections within the time after which it counts
// as sound again.
func (r *run) silenceStoreConnections(e *jobsite.Entry) {
	steady := r.site.Platform.Checker.Disturb(e.Name)
	e.StoreProxy.Blackhole()
	steady()
}
