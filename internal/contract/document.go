package contract

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/hibiscuscove/hibiscuscove/internal/strictjson"
)

// ID names an object in the whole set.
type ID struct {
	Kind Kind
	Name string
}

// String returns "kind/name".
func (id ID) String() string { return string(id.Kind) + "/" + id.Name }

// ParseID parses "kind/name".
func ParseID(text string) (ID, error) {
	kind, name, found := strings.Cut(text, "/")
	if !found || name == "" {
		return ID{}, fmt.Errorf("contract: %q: want kind/name", text)
	}
	return ID{Kind: Kind(kind), Name: name}, nil
}

// Object is one stored configuration object.
type Object struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Generation is the generation that last changed the object.
	Generation uint64          `json:"generation"`
	Spec       json.RawMessage `json:"spec"`
}

// ID returns the object's kind and name.
func (o Object) ID() ID { return ID{Kind: o.Kind, Name: o.Name} }

// Document is one generation of the whole configuration, its objects in the
// order of their IDs.
type Document struct {
	Generation uint64   `json:"generation"`
	Objects    []Object `json:"objects"`
	// Deleted keeps the generation that deleted an object, so that a late
	// change to it conflicts.
	Deleted map[string]uint64 `json:"deleted,omitempty"`
}

// Change is what an operator asks for.
type Change struct {
	// ID recognises the change when it is sent again.
	ID string `json:"id"`
	// Base is the generation that the operator has seen. Zero skips the test for conflicts.
	Base    uint64   `json:"base,omitempty"`
	Author  string   `json:"author,omitempty"`
	Upserts []Object `json:"upserts,omitempty"`
	// Deletes are "kind/name".
	Deletes []string `json:"deletes,omitempty"`
}

// sections maps each kind to its section's name in a Set.
var sections = map[string]Kind{
	"organisations":  KindOrganisation,
	"model_versions": KindModelVersion,
	"pools":          KindPool,
	"routes":         KindRoute,
	"priorities":     KindPriority,
}

// Parse reads a Set as operators write it and returns its objects, the
// generation it was read at, and every problem.
func Parse(raw []byte) ([]Object, uint64, []strictjson.Problem) {
	members, err := strictjson.Members(raw)
	if err != nil {
		return nil, 0, []strictjson.Problem{{Object: "configuration", Reason: err.Error()}}
	}
	var p parser
	for _, m := range members {
		p.member(m)
	}
	return p.objects, p.generation, p.problems
}

type parser struct {
	objects    []Object
	generation uint64
	seen       map[string]bool
	problems   []strictjson.Problem
}

func (p *parser) add(object, field, reason string) {
	p.problems = append(p.problems, strictjson.Problem{Object: object, Field: field, Reason: reason})
}

func (p *parser) member(m strictjson.Member) {
	if p.seen == nil {
		p.seen = make(map[string]bool)
	}
	if p.seen[m.Name] {
		p.add("configuration", m.Name, "stands twice")
		return
	}
	p.seen[m.Name] = true
	if m.Name == "generation" {
		if err := json.Unmarshal(m.Value, &p.generation); err != nil {
			p.add("configuration", "generation", "want a whole number")
		}
		return
	}
	kind, known := sections[m.Name]
	if !known {
		p.add("configuration", m.Name, "unknown field")
		return
	}
	var items []json.RawMessage
	if err := json.Unmarshal(m.Value, &items); err != nil {
		p.add("configuration", m.Name, "want a list of objects")
		return
	}
	for i, item := range items {
		p.item(kind, i, item)
	}
}

func (p *parser) item(kind Kind, i int, item json.RawMessage) {
	var named struct {
		Name string `json:"name"`
	}
	_ = json.Unmarshal(item, &named)
	label := ID{Kind: kind, Name: named.Name}.String()
	if named.Name == "" {
		label = fmt.Sprintf("%s[%d]", kind, i)
	}
	spec, problems := canonical(kind, label, item)
	if len(problems) > 0 {
		p.problems = append(p.problems, problems...)
		return
	}
	if p.seen[label] {
		p.add(label, "name", "stands twice")
		return
	}
	p.seen[label] = true
	p.objects = append(p.objects, Object{Kind: kind, Name: named.Name, Spec: spec})
}

// canonical decodes raw strictly as an object of the kind and encodes it again.
func canonical(kind Kind, label string, raw json.RawMessage) (json.RawMessage, []strictjson.Problem) {
	switch kind {
	case KindOrganisation:
		return recode[Organisation](label, raw)
	case KindModelVersion:
		return recode[ModelVersion](label, raw)
	case KindPool:
		return recode[Pool](label, raw)
	case KindRoute:
		return recode[Route](label, raw)
	case KindPriority:
		return recode[Priority](label, raw)
	default:
		return nil, []strictjson.Problem{{Object: label, Field: "kind", Reason: "unknown kind"}}
	}
}

func recode[T any](label string, raw json.RawMessage) (json.RawMessage, []strictjson.Problem) {
	var spec T
	if problems := strictjson.Decode(label, raw, &spec); len(problems) > 0 {
		return nil, problems
	}
	out, err := json.Marshal(spec)
	if err != nil {
		return nil, []strictjson.Problem{{Object: label, Reason: err.Error()}}
	}
	return out, nil
}

// Outcome is what became of a Change.
type Outcome struct {
	// Changed lists the objects that differ from before.
	Changed []string `json:"changed,omitempty"`
	// Conflicts lists the objects that somebody changed after Change.Base.
	Conflicts []string `json:"conflicts,omitempty"`
	// Problems lists what is wrong with the resulting set.
	Problems []strictjson.Problem `json:"problems,omitempty"`
}

// OK reports whether the change can be published.
func (o Outcome) OK() bool { return len(o.Conflicts) == 0 && len(o.Problems) == 0 }

// WithChange returns the next generation with the change applied. When the
// outcome is not OK, or nothing changes, the document is returned as it was.
func (d Document) WithChange(change Change) (Document, Outcome) {
	next := d.clone()
	next.Generation++
	var outcome Outcome
	for _, object := range change.Upserts {
		next.upsert(object, change.Base, &outcome)
	}
	for _, name := range change.Deletes {
		next.remove(name, change.Base, &outcome)
	}
	_, problems := NewCatalogue(next)
	outcome.Problems = append(outcome.Problems, problems...)
	if !outcome.OK() || len(outcome.Changed) == 0 {
		return d, outcome
	}
	return next, outcome
}

func (d Document) clone() Document {
	next := Document{Generation: d.Generation, Objects: slices.Clone(d.Objects), Deleted: make(map[string]uint64)}
	for name, generation := range d.Deleted {
		if generation+deletionMemory >= d.Generation {
			next.Deleted[name] = generation
		}
	}
	return next
}

func (d *Document) find(id ID) (int, bool) {
	return slices.BinarySearchFunc(d.Objects, id.String(), func(o Object, name string) int {
		return strings.Compare(o.ID().String(), name)
	})
}

func (d *Document) upsert(object Object, base uint64, outcome *Outcome) {
	label := object.ID().String()
	spec, problems := canonical(object.Kind, label, object.Spec)
	if len(problems) > 0 {
		outcome.Problems = append(outcome.Problems, problems...)
		return
	}
	i, found := d.find(object.ID())
	if found && string(d.Objects[i].Spec) == string(spec) {
		return
	}
	last := d.Deleted[label]
	if found {
		last = d.Objects[i].Generation
	}
	if base > 0 && last > base {
		outcome.Conflicts = append(outcome.Conflicts, label)
		return
	}
	entry := Object{Kind: object.Kind, Name: object.Name, Generation: d.Generation, Spec: spec}
	if found {
		d.Objects[i] = entry
	} else {
		d.Objects = slices.Insert(d.Objects, i, entry)
	}
	delete(d.Deleted, label)
	outcome.Changed = append(outcome.Changed, label)
}

func (d *Document) remove(label string, base uint64, outcome *Outcome) {
	id, err := ParseID(label)
	if err != nil {
		outcome.Problems = append(outcome.Problems, strictjson.Problem{Object: label, Reason: "want kind/name"})
		return
	}
	i, found := d.find(id)
	if !found {
		return
	}
	if base > 0 && d.Objects[i].Generation > base {
		outcome.Conflicts = append(outcome.Conflicts, label)
		return
	}
	d.Objects = slices.Delete(d.Objects, i, i+1)
	d.Deleted[label] = d.Generation
	outcome.Changed = append(outcome.Changed, label)
}

// Set returns the document as operators write it.
func (d Document) Set() (Set, error) {
	set := Set{Generation: d.Generation}
	for _, o := range d.Objects {
		if err := set.add(o); err != nil {
			return Set{}, fmt.Errorf("contract: %s: %w", o.ID(), err)
		}
	}
	return set, nil
}

func (s *Set) add(o Object) error {
	switch o.Kind {
	case KindOrganisation:
		return appendSpec(&s.Organisations, o.Spec)
	case KindModelVersion:
		return appendSpec(&s.ModelVersions, o.Spec)
	case KindPool:
		return appendSpec(&s.Pools, o.Spec)
	case KindRoute:
		return appendSpec(&s.Routes, o.Spec)
	case KindPriority:
		return appendSpec(&s.Priorities, o.Spec)
	default:
		return fmt.Errorf("unknown kind")
	}
}

func appendSpec[T any](list *[]T, raw json.RawMessage) error {
	var spec T
	if err := json.Unmarshal(raw, &spec); err != nil {
		return err
	}
	*list = append(*list, spec)
	return nil
}
