// Package arrival estimates the rate at which jobs arrive at a queue.
//
// The demand of a queue rises to several times its mean within a fraction of a second and falls as fast. VMs take
// seconds to arrive, so a rise has to be recognised from few arrivals and a fall from their absence. Moving averages
// are smooth but late; counts over short windows are prompt but vary at random. The estimate is the average, corrected
// to what the counts of the latest windows allow as plausible results of chance.
package arrival
