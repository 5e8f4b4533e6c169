package contract

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/hibiscuscove/hibiscuscove/internal/strictjson"
)

// ID identifies an object in a configuration.
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

// Object is a configuration object in its stored form.
type Object struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Generation is the generation that last changed the object.
	Generation uint64 `json:"generation"`
	// Spec is the object encoded as an Organisation, ModelVersion, Pool, Route or
	// Priority.
	Spec json.RawMessage `json:"spec"`
}

// ID returns the object's kind and name.
func (o Object) ID() ID { return ID{Kind: o.Kind, Name: o.Name} }

// Document is one generation of the whole configuration. Its objects are ordered
// by their IDs. It is immutable and safe for concurrent use.
type Document struct {
	Generation uint64   `json:"generation"`
	Objects    []Object `json:"objects"`
	// Deleted maps the IDs of deleted objects to the generations that deleted
	// them. It lets a change based on an earlier generation conflict with the
	// deletion.
	Deleted map[string]uint64 `json:"deleted,omitempty"`
}

// Change is an operator's change of the configuration.
type Change struct {
	// ID identifies the change, so that it is applied only once if it is sent
	// again.
	ID string `json:"id"`
	// Base is the generation on which the change is based. Zero disables the
	// check for conflicts.
	Base   uint64 `json:"base,omitempty"`
	Author string `json:"author,omitempty"`
	// Upserts are the objects to add or replace. Their generations are ignored.
	Upserts []Object `json:"upserts,omitempty"`
	// Deletes are the IDs of the objects to delete, as "kind/name".
	Deletes []string `json:"deletes,omitempty"`
}

// sectionKinds maps the names of the sections of an encoded Set to the kinds of
// their objects.
var sectionKinds = map[string]Kind{
	"organisations":  KindOrganisation,
	"model_versions": KindModelVersion,
	"pools":          KindPool,
	"routes":         KindRoute,
	"priorities":     KindPriority,
}

// Parse parses a Set in JSON. It returns its objects, its generation, and every
// problem found. Objects with a problem are left out.
func Parse(raw []byte) ([]Object, uint64, []strictjson.Problem) {
	members, err := strictjson.Members(raw)
	if err != nil {
		return nil, 0, []strictjson.Problem{{Object: "configuration", Reason: err.Error()}}
	}
	var p parser
	for _, m := range members {
		p.parseMember(m)
	}
	return p.objects, p.generation, p.problems
}

type parser struct {
	objects    []Object
	generation uint64
	// seen holds the names of sections and the IDs of objects, to detect
	// duplicates.
	seen     map[string]bool
	problems []strictjson.Problem
}

func (p *parser) addProblem(object, field, reason string) {
	p.problems = append(p.problems, strictjson.Problem{Object: object, Field: field, Reason: reason})
}

func (p *parser) parseMember(m strictjson.Member) {
	if p.seen == nil {
		p.seen = make(map[string]bool)
	}
	if p.seen[m.Name] {
		p.addProblem("configuration", m.Name, "stands twice")
		return
	}
	p.seen[m.Name] = true
	if m.Name == "generation" {
		if err := json.Unmarshal(m.Value, &p.generation); err != nil {
			p.addProblem("configuration", "generation", "want a whole number")
		}
		return
	}
	kind, known := sectionKinds[m.Name]
	if !known {
		p.addProblem("configuration", m.Name, "unknown field")
		return
	}
	var items []json.RawMessage
	if err := json.Unmarshal(m.Value, &items); err != nil {
		p.addProblem("configuration", m.Name, "want a list of objects")
		return
	}
	for i, item := range items {
		p.parseItem(kind, i, item)
	}
}

func (p *parser) parseItem(kind Kind, i int, item json.RawMessage) {
	var named struct {
		Name string `json:"name"`
	}
	_ = json.Unmarshal(item, &named)
	label := ID{Kind: kind, Name: named.Name}.String()
	if named.Name == "" {
		label = fmt.Sprintf("%s[%d]", kind, i)
	}
	spec, problems := canonicalSpec(kind, label, item)
	if len(problems) > 0 {
		p.problems = append(p.problems, problems...)
		return
	}
	if p.seen[label] {
		p.addProblem(label, "name", "stands twice")
		return
	}
	p.seen[label] = true
	p.objects = append(p.objects, Object{Kind: kind, Name: named.Name, Spec: spec})
}

// canonicalSpec decodes raw strictly as an object of the given kind and encodes
// it again, so that equal objects have equal encodings.
func canonicalSpec(kind Kind, label string, raw json.RawMessage) (json.RawMessage, []strictjson.Problem) {
	switch kind {
	case KindOrganisation:
		return reencode[Organisation](label, raw)
	case KindModelVersion:
		return reencode[ModelVersion](label, raw)
	case KindPool:
		return reencode[Pool](label, raw)
	case KindRoute:
		return reencode[Route](label, raw)
	case KindPriority:
		return reencode[Priority](label, raw)
	default:
		return nil, []strictjson.Problem{{Object: label, Field: "kind", Reason: "unknown kind"}}
	}
}

func reencode[T any](label string, raw json.RawMessage) (json.RawMessage, []strictjson.Problem) {
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

// Outcome is the result of applying a Change.
type Outcome struct {
	// Changed are the IDs of the objects that were added, replaced or deleted.
	Changed []string `json:"changed,omitempty"`
	// Conflicts are the IDs of the objects that were changed after Change.Base.
	Conflicts []string `json:"conflicts,omitempty"`
	// Problems are the problems of the change and of the resulting document.
	Problems []strictjson.Problem `json:"problems,omitempty"`
}

// OK reports whether the change can be published.
func (o Outcome) OK() bool { return len(o.Conflicts) == 0 && len(o.Problems) == 0 }

// WithChange returns the next generation with the change applied. If the outcome
// is not OK, or nothing changes, it returns the document itself.
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

// clone returns a copy of the document without the deletions that are more than
// maxDeletionAge generations old.
func (d Document) clone() Document {
	next := Document{Generation: d.Generation, Objects: slices.Clone(d.Objects), Deleted: make(map[string]uint64)}
	for name, generation := range d.Deleted {
		if generation+maxDeletionAge >= d.Generation {
			next.Deleted[name] = generation
		}
	}
	return next
}

// find returns the index of an object, or where it would be inserted, and
// whether it exists.
func (d *Document) find(id ID) (int, bool) {
	return slices.BinarySearchFunc(d.Objects, id.String(), func(o Object, name string) int {
		return strings.Compare(o.ID().String(), name)
	})
}

func (d *Document) upsert(object Object, base uint64, outcome *Outcome) {
	label := object.ID().String()
	spec, problems := canonicalSpec(object.Kind, label, object.Spec)
	if len(problems) > 0 {
		outcome.Problems = append(outcome.Problems, problems...)
		return
	}
	i, found := d.find(object.ID())
	if found && string(d.Objects[i].Spec) == string(spec) {
		return
	}
	lastChange := d.Deleted[label]
	if found {
		lastChange = d.Objects[i].Generation
	}
	if base > 0 && lastChange > base {
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

// Set returns the document in the form that operators write.
func (d Document) Set() (Set, error) {
	set := Set{Generation: d.Generation}
	for _, o := range d.Objects {
		if err := set.addObject(o); err != nil {
			return Set{}, fmt.Errorf("contract: %s: %w", o.ID(), err)
		}
	}
	return set, nil
}

func (s *Set) addObject(o Object) error {
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
