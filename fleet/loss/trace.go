package loss

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// jobTrace is what the logs tell of a job so far.
type jobTrace struct {
	id, queue, pool, dataCentre string
	// firstSeen is the first answer to an attempt or the admission, lastSeen the time of the last line.
	firstSeen, lastSeen time.Time
	// refusal is the cause of the last refusal or unknown outcome.
	refusal          Cause
	refused, unknown bool
	admittedAt       time.Time
	endedAt          time.Time
	outcome          Outcome
	// excluded jobs are not counted: they were cancelled, or are not finite.
	ended, excluded bool
	running         map[string]bool
	idleSince       time.Time
	lost            map[Cause]time.Duration
	lostRuns        map[string]lostRun
}

// lostRun is a run that ended without success, until its task starts again.
type lostRun struct {
	at    time.Time
	cause Cause
}

// outage is a time during which something was away; its end is zero while it lasts.
type outage struct {
	from, to time.Time
}

// overlap returns how much of the time from a to b the outages cover.
func overlap(l []outage, a, b time.Time) time.Duration {
	sum := time.Duration(0)
	for _, o := range l {
		from, to := o.from, o.to
		if to.IsZero() || to.After(b) {
			to = b
		}
		if from.Before(a) {
			from = a
		}
		sum += max(to.Sub(from), 0)
	}
	return sum
}

// add applies a line to the job. waits splits a time in which nothing of the job ran by cause.
func (j *jobTrace) add(r Record, waits func(pool string, a, b time.Time) map[Cause]time.Duration) {
	if j.firstSeen.IsZero() {
		j.firstSeen = r.Time
	}
	j.lastSeen = r.Time
	switch r.Kind {
	case "answer":
		j.addAnswer(r)
	case "job":
		j.addDecision(r)
	case "task":
		j.addRun(r, waits)
	}
}

// addAnswer applies the answer to an attempt to submit the job.
func (j *jobTrace) addAnswer(r Record) {
	x, ok := strings.CutPrefix(r.Reason, ReasonSubmission)
	if !ok {
		return
	}
	if r.Service != "" {
		j.queue = r.Service
	}
	if r.DataCentre != "" {
		j.dataCentre = r.DataCentre
	}
	switch {
	case strings.HasPrefix(x, "refused"):
		j.refused = true
		j.refuse(r)
	case strings.HasPrefix(x, "unsure"):
		j.unknown = true
		j.refuse(r)
	case strings.HasPrefix(x, "done") && j.admittedAt.IsZero():
		// The owner's line may be missing from the logs.
		j.admittedAt, j.idleSince = r.Time, r.Time
	}
}

// refusalCauses are the causes of refusals and unknown outcomes by the word in the log.
var refusalCauses = map[string]Cause{
	"store": StoreAway, "owner": NoOwner, "unreached": OwnerUnreached, "overload": OwnerOverloaded, "memory": OwnerOverloaded, "capacity": PoolFull,
	causeVMOnTheWay: VMOnTheWay, "cap": Share, "share": Share, "excess": Share, "size": TooLarge,
}

// causeVMOnTheWay replaces the word of the log for a lack of room while a VM is on its way to the pool.
const causeVMOnTheWay = "vmOnTheWay"

// refuse records a refusal or an unknown outcome. The answer of an entry that has forwarded the job names no cause; that of
// the owner's line, which comes before it, stands.
func (j *jobTrace) refuse(r Record) {
	if c, ok := refusalCauses[r.Cause]; ok {
		j.refusal = c
	}
}

// addDecision applies a decision of the owner.
func (j *jobTrace) addDecision(r Record) {
	if r.Pool != "" {
		j.pool = r.Pool
	}
	switch {
	case r.Reason == ReasonAdmitted:
		if j.admittedAt.IsZero() {
			j.admittedAt, j.idleSince = r.Time, r.Time
		}
	case strings.HasPrefix(r.Reason, ReasonRefused):
		j.refused = true
		j.refuse(r)
	case strings.HasPrefix(r.Reason, ReasonCompletedLate):
		j.end(Late, r.Time)
	case r.Reason == ReasonCompleted:
		j.end(OnTime, r.Time)
	case strings.HasPrefix(r.Reason, ReasonJobFailed):
		j.end(Failed, r.Time)
	case r.Reason == ReasonCancelled, r.Reason == ReasonAdmittedLasting:
		j.excluded = true
	}
}

func (j *jobTrace) end(o Outcome, at time.Time) {
	if !j.ended {
		j.ended, j.outcome, j.endedAt = true, o, at
	}
}

// addRun applies the start or the end of a run. The time in which no run of the job is under way is a wait; the time from the
// loss of a run to the next start of its task counts for what ended the run.
func (j *jobTrace) addRun(r Record, waits func(pool string, a, b time.Time) map[Cause]time.Duration) {
	if r.Reason == ReasonStartOrdered {
		if len(j.running) == 0 && !j.idleSince.IsZero() {
			for c, d := range waits(j.pool, j.idleSince, r.Time) {
				j.lost[c] += d
			}
		}
		if x, ok := j.lostRuns[r.Task]; ok {
			j.lost[x.cause] += r.Time.Sub(x.at)
			delete(j.lostRuns, r.Task)
		}
		j.running[r.Task] = true
		return
	}
	c, lost := runLoss(r.Reason)
	if !lost && r.Reason != ReasonRunEnded+"done" {
		return
	}
	delete(j.running, r.Task)
	if lost {
		if _, known := j.lostRuns[r.Task]; !known {
			j.lostRuns[r.Task] = lostRun{r.Time, c}
		}
	}
	if len(j.running) == 0 {
		j.idleSince = r.Time
	}
}

// runLoss returns what ended a run without success, and false for a line that tells no such end.
func runLoss(reason string) (Cause, bool) {
	switch reason {
	case ReasonStalled, ReasonStraggles:
		return Straggler, true
	case ReasonRunEnded + "failed", "start: malformed":
		return RunFailed, true
	case ReasonLeaseExpired, ReasonServerRestarted, "server has ended", "VM was taken down", "a later server runs on the VM",
		"run is missing from the listing", "start: undelivered", "start: noAnswer", "start: unhealthy", ReasonRunEnded + "lapsed":
		return ServerLost, true
	}
	return Unexplained, false
}

// cause returns what cost the job the most time. A job that was refused first also lost the time until it was admitted.
func (j *jobTrace) cause() Cause {
	switch j.result() {
	case Refused, Unknown:
		return j.refusal
	case Failed:
		return RunFailed
	}
	l := maps.Clone(j.lost)
	if j.refused || j.unknown {
		l[j.refusal] += j.admittedAt.Sub(j.firstSeen)
	}
	for _, x := range j.lostRuns {
		l[x.cause] += j.lastSeen.Sub(x.at)
	}
	best, most := LongRun, time.Duration(0)
	for _, c := range slices.Sorted(maps.Keys(l)) {
		if l[c] > most {
			best, most = c, l[c]
		}
	}
	if most < minLoss {
		return LongRun
	}
	return best
}

// minLoss is the least time that counts as the reason why a job was late; a start takes some 50 ms with its commit.
const minLoss = 100 * time.Millisecond

// result returns the outcome as far as the logs go.
func (j *jobTrace) result() Outcome {
	switch {
	case j.ended:
		return j.outcome
	case !j.admittedAt.IsZero():
		return Unfinished
	case j.unknown:
		return Unknown
	default:
		return Refused
	}
}
