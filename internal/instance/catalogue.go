package instance

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"time"

	"github.com/xdg-go/scram"

	"github.com/stackspindle/stackspindle/internal/etcd"
	"github.com/stackspindle/stackspindle/internal/membership"
	"github.com/stackspindle/stackspindle/internal/owner"
	"github.com/stackspindle/stackspindle/internal/pgserver"
	"github.com/stackspindle/stackspindle/internal/resource"
	"github.com/stackspindle/stackspindle/internal/rollout"
)

// catalogue is the decoded form of the active configuration, indexed for lookups by
// client connections. It is immutable.
type catalogue struct {
	snapshot                *rollout.Snapshot
	databases               map[string]*resource.DatabaseSpec
	services                map[string]*resource.ServiceSpec
	instances               []membership.Instance
	accessByServiceDatabase map[serviceDatabase]*pgserver.Service
}

type serviceDatabase struct{ service, database string }

// newCatalogue decodes a snapshot. Entries that cannot be decoded were written by a
// newer version of the software. They are ignored and reported.
func newCatalogue(s *rollout.Snapshot, credentials map[string]*scram.StoredCredentials, report func(key, problem string)) *catalogue {
	c := &catalogue{
		snapshot:                s,
		databases:               make(map[string]*resource.DatabaseSpec),
		services:                make(map[string]*resource.ServiceSpec),
		accessByServiceDatabase: make(map[serviceDatabase]*pgserver.Service),
	}
	for _, entry := range s.Entries() {
		if entry.Deleted {
			continue
		}
		if entry.Key.Kind == etcd.KindInstances {
			c.addPlatformInstance(entry, report)
			continue
		}
		var r resource.Resource
		if err := json.Unmarshal([]byte(entry.Document), &r); err != nil {
			report(entry.Key.String(), err.Error())
			continue
		}
		c.add(&r)
	}
	for name, s := range c.services {
		for _, database := range s.Databases {
			if c.databases[database] != nil {
				c.accessByServiceDatabase[serviceDatabase{name, database}] = callerService(name, s, database, credentials[s.Credential])
			}
		}
	}
	return c
}

// addPlatformInstance adds an entry of the list of instances that the platform maintains.
func (c *catalogue) addPlatformInstance(entry rollout.Entry, report func(key, problem string)) {
	var spec resource.InstanceSpec
	if err := json.Unmarshal([]byte(entry.Document), &spec); err != nil {
		report(entry.Key.String(), err.Error())
		return
	}
	c.instances = append(c.instances, membership.Instance{
		Name:       entry.Key.Name,
		Address:    spec.Address,
		DataCentre: spec.DataCentre,
		Leaving:    spec.Leaving,
	})
}

func (c *catalogue) add(r *resource.Resource) {
	switch {
	case r.Database != nil:
		c.databases[r.Metadata.Name] = r.Database
	case r.Service != nil:
		c.services[r.Metadata.Name] = r.Service
	case r.Instance != nil:
		c.instances = append(c.instances, membership.Instance{
			Name:       r.Metadata.Name,
			Address:    r.Instance.Address,
			DataCentre: r.Instance.DataCentre,
			Leaving:    r.Instance.Leaving,
		})
	}
}

func callerService(name string, s *resource.ServiceSpec, database string, credentials *scram.StoredCredentials) *pgserver.Service {
	return &pgserver.Service{
		Name:           name,
		Group:          database,
		Database:       database,
		Staleness:      time.Duration(s.Staleness),
		QueueTimeout:   time.Duration(s.QueueTimeout),
		Weight:         s.Weight,
		MaxConnections: s.MaxConnections,
		Credentials:    credentials,
	}
}

// Service implements pgserver.Catalogue.
func (i *Instance) Service(name, database string) (*pgserver.Service, error) {
	c := i.catalogue.Load()
	if c.snapshot.Revision() == 0 {
		return nil, pgserver.ErrNoConfig
	}
	if s := c.accessByServiceDatabase[serviceDatabase{name, database}]; s != nil {
		return s, nil
	}
	if c.services[name] == nil {
		return nil, fmt.Errorf("service %q: %w", name, pgserver.ErrNoService)
	}
	return nil, fmt.Errorf("service %q, database %q: %w", name, database, pgserver.ErrNoDatabase)
}

// groupSpec builds the specification that the owner of a group works with. passwords maps
// credential references to passwords.
func groupSpec(name string, d *resource.DatabaseSpec, passwords map[string]string) owner.Spec {
	spec := owner.Spec{
		Name:         name,
		Database:     d.Database,
		User:         d.User,
		Password:     passwords[d.Credential],
		Connections:  d.Connections,
		WriteReserve: d.WriteReserve,
		MaxQueue:     d.MaxQueue,
		ReplicaAck:   d.Acknowledgement == resource.AckReplica,
	}
	for _, m := range d.Members {
		spec.Members = append(spec.Members, owner.Member{
			Name:       m.Name,
			Addr:       m.Address,
			DataCentre: m.DataCentre,
			Leaving:    m.Leaving,
		})
	}
	return spec
}

// leavingMembers returns the names of the members that must not get new work.
func leavingMembers(spec owner.Spec) []string {
	var names []string
	for _, m := range spec.Members {
		if m.Leaving {
			names = append(names, m.Name)
		}
	}
	return names
}

// equalExceptLeaving reports whether two specs are equal except for the Leaving flags of
// members, whose changes a running group can apply without a restart.
func equalExceptLeaving(a, b owner.Spec) bool {
	strip := func(s owner.Spec) owner.Spec {
		s.Members = slices.Clone(s.Members)
		for i := range s.Members {
			s.Members[i].Leaving = false
		}
		return s
	}
	return reflect.DeepEqual(strip(a), strip(b))
}
