package lead

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/stackspindle/stackspindle/internal/lead/leadpb"
)

// forEachConcurrently calls f for all instances at the same time and returns when all calls
// have returned.
func forEachConcurrently(instances []Instance, f func(Instance)) {
	var wg sync.WaitGroup
	for _, instance := range instances {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f(instance)
		}()
	}
	wg.Wait()
}

func (c *Controller) client(address string) (leadpb.CoordinationClient, error) {
	conn, err := c.peers.Get(address)
	if err != nil {
		return nil, err
	}
	return leadpb.NewCoordinationClient(conn), nil
}

// callOthers makes a call to each of the instances except this one, concurrently, and
// returns when all calls have returned.
func (c *Controller) callOthers(instances []Instance, call func(Instance, leadpb.CoordinationClient) error) {
	forEachConcurrently(instances, func(instance Instance) {
		if instance.Name == c.self.Name {
			return
		}
		client, err := c.client(instance.Address)
		if err == nil {
			err = call(instance, client)
		}
		if err != nil {
			c.log.WithField("instance", instance.Name).WithError(err).Debug("lead: the call to another instance failed")
		}
	})
}

// publish sends the outcome of a change to all instances that serve the group, before it is
// in the store. Other instances do not need it at once, and read it from the store later.
func (c *Controller) publish(ctx context.Context, group string, out *outcome) {
	c.env.PrimaryGuard(group).ApplyOutcome(out.record, out.revision)
	req := &leadpb.PublishRequest{Group: group, Revision: out.revision, Record: encode(out.record)}
	ctx, cancel := context.WithTimeout(ctx, peerQueryTimeout)
	defer cancel()
	c.callOthers(c.env.InstancesServing(group), func(instance Instance, client leadpb.CoordinationClient) error {
		_, err := client.Publish(ctx, req)
		if err != nil {
			c.log.WithFields(logrus.Fields{"group": group, "instance": instance.Name}).WithError(err).
				Info("lead: could not publish the new primary to an instance; it will read it from the store")
		}
		return err
	})
}

// surveyResult counts the registered instances by whether a change of primary would have to
// wait for them.
type surveyResult struct {
	answered       int // registered instances that answer, including this one
	releasesNeeded int // releases after which no grant can be attested any more
	unresponsive   int // instances that do not answer although their leases are valid
	lapsing        int // instances whose leases are gone but whose grants have not lapsed yet
}

// possibleHolders returns how many instances that do not answer may still hold grants.
func (s surveyResult) possibleHolders() int { return s.unresponsive + s.lapsing }

// survey calls all registered instances to see which of them answer.
func (c *Controller) survey(ctx context.Context) surveyResult {
	ctx, cancel := context.WithTimeout(ctx, peerQueryTimeout)
	defer cancel()
	view, now := c.env.View(), c.now()
	registered := view.Registered(now)
	s := surveyResult{answered: 1, releasesNeeded: ReleaseQuorum(len(registered), view.RecentlyJoined(now))}
	var mu sync.Mutex // guards s
	c.callOthers(registered, func(instance Instance, client leadpb.CoordinationClient) error {
		_, err := client.Witness(ctx, &leadpb.WitnessRequest{})
		entry, _ := view.Entry(now, instance.Name)
		since, leaseGone := view.MissingSince(entry)
		mu.Lock()
		defer mu.Unlock()
		switch {
		case err == nil:
			s.answered++
		case !leaseGone:
			s.unresponsive++
		case now-since < grantLapseTime:
			s.lapsing++
		}
		return err
	})
	return s
}

// answeredElsewhere asks the other instances that serve a group whether a member has
// answered one of them after it first failed to answer this instance, at since. It returns
// the name of one such instance.
func (c *Controller) answeredElsewhere(ctx context.Context, group, id string, since time.Duration) (string, bool) {
	ctx, cancel := context.WithTimeout(ctx, peerQueryTimeout)
	defer cancel()
	others := c.env.InstancesServing(group)
	names := make(chan string, len(others))
	c.callOthers(others, func(instance Instance, client leadpb.CoordinationClient) error {
		reply, err := client.Witness(ctx, &leadpb.WitnessRequest{Member: id})
		if err == nil && reply.Heard && time.Duration(reply.AgeUs)*time.Microsecond < c.now()-since {
			names <- instance.Name
		}
		return err
	})
	close(names)
	name, ok := <-names
	return name, ok
}
