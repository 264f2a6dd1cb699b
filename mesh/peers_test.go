package mesh

import (
	"context"
	"fmt"
	"testing"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"github.com/toucancove/toucancove/core/catalog"
	"github.com/toucancove/toucancove/core/member"
	"github.com/toucancove/toucancove/follow"
	"github.com/toucancove/toucancove/peer/meshpb"
)

// One instance of a large fleet drains. A node that long-polls the reader of its zone
// must receive only that change, and a node without a list the whole list.
func TestReaderSendsOnlyChanges(t *testing.T) {
	r, _ := startRig(t, ok)
	var large []catalog.Instance
	for i := range 300 {
		large = append(large, catalog.Instance{
			ID: member.InstanceID(fmt.Sprint("l-", i)), Service: "far", Address: fmt.Sprintf("10.9.%d.%d:8080", i/200, i%200+1), Zone: "z2", Slots: 10,
		})
	}
	r.store.publish(func(s *memoryStore) { s.instances = append(s.instances, large...) })
	service := &controlService{follower: r.nodes[0].follower, quota: r.nodes[0].quota, leaving: &r.nodes[0].leaving}
	r.eventually("the list is in force", func() bool { return r.nodes[0].follower.State().Directory.Len() > len(large) })
	query := func(revision catalog.Revision) *meshpb.PublishedReply {
		reply, err := service.Published(context.Background(), &meshpb.PublishedRequest{Version: 1, Revision: uint64(revision), TakesChanges: true})
		if err != nil {
			t.Fatal(err)
		}
		return reply
	}
	before := r.nodes[0].follower.State().Position().Revision
	whole := query(0)
	if whole.Partial || len(whole.Instances) != len(large)+1 {
		t.Errorf("%d instances, partial %v, want the whole list", len(whole.Instances), whole.Partial)
	}
	drained := large[7]
	drained.Draining = true
	r.store.change(catalog.Change{ID: drained.ID, Instance: &drained})
	r.eventually("the change is in force", func() bool { return r.nodes[0].follower.State().Position().Revision > before })
	changes := query(before)
	if !changes.Partial || len(changes.Changes) != 1 || !changes.Changes[0].Instance.GetDraining() || len(changes.Instances) > 0 {
		t.Errorf("partial %v with %d changes and %d instances, want one change", changes.Partial, len(changes.Changes), len(changes.Instances))
	}
	if size := proto.Size(changes); size > proto.Size(whole)/100 {
		t.Errorf("%d bytes for one change of a list of %d", size, proto.Size(whole))
	}
}

// A node of an earlier version passes on odd entries that it accepted. They must not come
// in by the side: with the list, with changes or with corrections.
func TestOddEntriesOfAnotherNodeAreIgnored(t *testing.T) {
	r, _ := startRig(t, ok)
	sound := catalog.Instance{ID: "sound", Service: "desk", Address: "10.9.0.1:80", Zone: "z", Slots: 9}
	odd := []catalog.Instance{sound, sound, sound, sound, sound}
	odd[0].Slots = 0
	odd[1].Slots = 1 << 40
	odd[2].Address = "10.9.0.1:0"
	odd[3].Boot = 1<<64 - 1
	odd[4].Zone = ""
	for i := range odd {
		odd[i].ID = member.InstanceID(fmt.Sprint("odd-", i))
	}
	r.store.publish(func(s *memoryStore) { s.instances = append(append(s.instances, odd...), sound) })
	r.eventually("the list is in force", func() bool { return r.nodes[0].follower.State().Directory.Len() == 2+len(odd) })
	clients := newControlClients(logr.Discard())
	address := r.address(0, controlPort)
	whole, err := clients.Published(t.Context(), address, follow.Query{})
	if err != nil || len(whole.Instances) != 2 {
		t.Fatalf("%d instances, error %v; want the two sound ones", len(whole.Instances), err)
	}
	odd[0].Draining = true
	r.store.change(catalog.Change{ID: odd[0].ID, Instance: &odd[0]})
	r.eventually("the change is in force", func() bool { return r.nodes[0].follower.State().Position().Follows(whole.Position) })
	partial, err := clients.Published(t.Context(), address, follow.Query{Version: 1, Position: whole.Position})
	if err != nil || len(partial.Changes) != 1 || partial.Changes[0].Instance != nil {
		t.Errorf("changes %+v, error %v; want one without an instance", partial.Changes, err)
	}
	if c := clients.instanceFrom("peer", instanceMessage(&odd[3])); c != nil {
		t.Errorf("correction to %+v accepted", c)
	}
}
