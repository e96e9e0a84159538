package lead

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/stackspindle/stackspindle/internal/lead/leadpb"
	"github.com/stackspindle/stackspindle/internal/locality"
	"github.com/stackspindle/stackspindle/internal/rendezvous"
)

// Limits of one round of attestation requests.
const (
	// attestTimeout plus attestTimeoutPerInstance for each instance asked bounds a round.
	// Connections to the instances have to be opened first, perhaps by an instance that has
	// a fifth of a core.
	attestTimeout            = 300 * time.Millisecond
	attestTimeoutPerInstance = 3 * time.Millisecond
	// maxConcurrentAttests is how many requests are in flight at a time, so that statements
	// get their share of the processor.
	maxConcurrentAttests = 16
)

// SetLocalities sets the distances between data centres. It must be called before the first Tick.
// Without it all other data centres count as equally far.
func (c *Controller) SetLocalities(localities locality.Map) { c.localities = localities }

// RequestAttestations asks other registered instances whether they know anything newer than
// the records known here, and confirms the grants for which a quorum knows nothing newer.
// It is called while the store does not answer this instance. It returns when the requests
// were sent and whether a quorum answered at all.
func (c *Controller) RequestAttestations(ctx context.Context) (time.Duration, bool) {
	registered := c.env.View().Registered(c.now())
	needed := AttestQuorum(len(registered))
	req := &leadpb.AttestRequest{From: c.self.Name}
	for _, group := range c.env.ServedGroups() {
		if _, revision := c.env.PrimaryGuard(group).Record(); revision > 0 {
			req.Known = append(req.Known, &leadpb.GroupRevision{Group: group, Revision: revision})
		}
	}
	round := &attestationRound{needed: needed, answers: 1, updates: make(map[string][]*leadpb.GroupNews)}
	sent := c.now()
	asked := registered
	if !c.askAllInstances.Load() {
		asked = attestors(registered, c.self, needed, c.localities)
	}
	ctx, cancel := context.WithTimeout(ctx, attestTimeout+time.Duration(len(asked))*attestTimeoutPerInstance)
	defer cancel()
	slots := make(chan struct{}, maxConcurrentAttests)
	c.callOthers(asked, func(_ Instance, client leadpb.CoordinationClient) error {
		slots <- struct{}{}
		defer func() { <-slots }()
		reply, err := client.Attest(ctx, req)
		if err == nil {
			round.addReply(reply)
		}
		return err
	})
	c.applyAttestation(req, round, sent)
	c.log.WithFields(logrus.Fields{"answers": round.answers, "needed": round.needed, "newer": len(round.updates)}).
		Info("lead: requested attestations from other instances because the store does not answer")
	quorum := round.answers >= round.needed
	c.askAllInstances.Store(!quorum)
	return sent, quorum
}

// spareAttestorsDivisor is the divisor for the share of the instances that is asked beyond
// a quorum, in case some do not answer: one in ten.
const spareAttestorsDivisor = 10

// attestors returns the instances to ask: enough for a quorum and some spare ones.
// Instances of the own data centre come first, then those of the own region, then the
// others. Each asking instance uses a different order within a distance, which spreads the
// requests. Asking only a part saves calls, most of them between data centres. If no quorum
// answers, the next round asks all instances.
func attestors(registered []Instance, self Instance, needed int, localities locality.Map) []Instance {
	var near, far []Instance
	for _, i := range registered {
		switch {
		case i.Name == self.Name:
		case i.DataCentre == self.DataCentre:
			near = append(near, i)
		default:
			far = append(far, i)
		}
	}
	slices.SortFunc(far, func(a, b Instance) int {
		return cmp.Or(
			cmp.Compare(localities.Distance(a.DataCentre, self.DataCentre), localities.Distance(b.DataCentre, self.DataCentre)),
			cmp.Compare(rendezvous.Score(self.Name, a.Name), rendezvous.Score(self.Name, b.Name)),
		)
	})
	asked := append(near, far...)
	return asked[:min(len(asked), needed-1+max(1, len(registered)/spareAttestorsDivisor))]
}

// attestationRound collects the replies of one round of requests.
type attestationRound struct {
	needed int

	mu      sync.Mutex // guards the rest
	answers int        // including this instance's own
	updates map[string][]*leadpb.GroupNews
}

func (a *attestationRound) addReply(reply *leadpb.AttestReply) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.answers++
	for _, n := range reply.News {
		a.updates[n.Group] = append(a.updates[n.Group], n)
	}
}

// applyAttestation applies what other instances know beyond the known records. If a quorum
// answered, it confirms the grants for which no instance knows anything newer.
func (c *Controller) applyAttestation(req *leadpb.AttestRequest, round *attestationRound, sent time.Duration) {
	for _, known := range req.Known {
		guard := c.env.PrimaryGuard(known.Group)
		for _, message := range round.updates[known.Group] {
			update, err := decodeUpdate(message)
			if err != nil {
				c.log.WithField("group", known.Group).WithError(err).Error("lead: cannot decode an update from another instance; ignoring it")
				continue
			}
			guard.ApplyUpdate(update)
		}
		if len(round.updates[known.Group]) == 0 && round.answers >= round.needed {
			guard.ConfirmByQuorum(sent, known.Revision)
		}
	}
}
