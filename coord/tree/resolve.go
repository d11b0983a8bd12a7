package tree

import (
	"encoding/hex"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Resolved are the effective values of one item, after inheritance. The fields are
// documented in Values. Explain pairs the fields of both types by name.
type Resolved struct {
	Rate          int64
	Burst         int64
	Weight        int64
	Class         Class
	Idempotent    bool
	FirstToken    time.Duration
	BetweenTokens time.Duration
	Timeout       time.Duration
	Patience      time.Duration
	RetryWindow   time.Duration
	MaxBody       int64
	MaxTokens     int64
	Cost          int64
}

// builtIn holds the value of each field for items where neither the item nor any of its
// ancestors sets the field.
var builtIn = Resolved{
	Rate:          1000,
	Burst:         10000,
	Weight:        1,
	Class:         Interactive,
	FirstToken:    670 * time.Millisecond,
	BetweenTokens: 34 * time.Millisecond,
	Timeout:       time.Minute,
	Patience:      time.Second,
	RetryWindow:   time.Minute,
	MaxBody:       1 << 20,
	MaxTokens:     1024,
	Cost:          1,
}

// BuiltIn is the text of Explained.From for a value that no level sets.
const BuiltIn = "built-in"

// Explained is one effective value. From is the key of the level that the value comes
// from, or BuiltIn.
type Explained struct {
	Name  string `json:"name"`
	Value string `json:"value"`
	From  string `json:"from"`
}

// level is one item on the path from an item to the root.
type level struct {
	key    string
	values Values
}

// levelsOf returns the item with a key and its ancestors, from the item to the root. It
// fails if one of them does not exist or is its own ancestor.
func (t *Tree) levelsOf(key string) (levels []level, err error) {
	for {
		if slices.ContainsFunc(levels, func(l level) bool { return l.key == key }) {
			return nil, eris.Errorf("%s: its parents form a cycle", key)
		}
		v, parent, ok := t.lookUp(key)
		if !ok {
			return nil, eris.Errorf("%s: no such item", key)
		}
		levels = append(levels, level{key, v})
		if key == RootKey {
			return levels, nil
		}
		key = parent
	}
}

// lookUp returns an item's own values and the key of its parent.
func (t *Tree) lookUp(key string) (v Values, parent string, ok bool) {
	kind, name, _ := strings.Cut(key, "/")
	switch kind + "/" {
	case RootKey + "/":
		return t.root.Values, "", true
	case ServicePrefix:
		s, ok := t.services[name]
		return s.Values, parentOr(s.Parent, RootKey), ok
	case WorkspacePrefix:
		w, ok := t.workspaces[name]
		return w.Values, parentOr(w.Parent, RootKey), ok
	case RoutePrefix:
		r, ok := t.routes[name]
		return r.Values, parentOr(r.Parent, ServicePrefix+r.Service), ok
	}
	return Values{}, "", false
}

// parentOr returns parent, or fallback if parent is empty.
func parentOr(parent, fallback string) string {
	if parent != "" {
		return parent
	}
	return fallback
}

// Explain returns each effective value of the item with a key and the level that it comes
// from. It fails if the item or one of its ancestors does not exist.
func (t *Tree) Explain(key string) ([]Explained, error) {
	levels, err := t.levelsOf(key)
	if err != nil {
		return nil, err
	}
	return explain(levels), nil
}

// inherit sets *to to the value of the first level that sets the field, and leaves it
// unchanged if no level does.
func inherit[T any](levels []level, to *T, field func(*Values) *T) {
	for i := range levels {
		if p := field(&levels[i].values); p != nil {
			*to = *p
			return
		}
	}
}

// resolve returns the effective values of the item at levels[0], whose ancestors follow.
func resolve(levels []level) Resolved {
	r := builtIn
	inherit(levels, &r.Rate, func(v *Values) *int64 { return v.Rate })
	inherit(levels, &r.Burst, func(v *Values) *int64 { return v.Burst })
	inherit(levels, &r.Weight, func(v *Values) *int64 { return v.Weight })
	inherit(levels, &r.Class, func(v *Values) *Class { return v.Class })
	inherit(levels, &r.Idempotent, func(v *Values) *bool { return v.Idempotent })
	inherit(levels, &r.FirstToken, func(v *Values) *time.Duration { return v.FirstToken })
	inherit(levels, &r.BetweenTokens, func(v *Values) *time.Duration { return v.BetweenTokens })
	inherit(levels, &r.Timeout, func(v *Values) *time.Duration { return v.Timeout })
	inherit(levels, &r.Patience, func(v *Values) *time.Duration { return v.Patience })
	inherit(levels, &r.RetryWindow, func(v *Values) *time.Duration { return v.RetryWindow })
	inherit(levels, &r.MaxBody, func(v *Values) *int64 { return v.MaxBody })
	inherit(levels, &r.MaxTokens, func(v *Values) *int64 { return v.MaxTokens })
	inherit(levels, &r.Cost, func(v *Values) *int64 { return v.Cost })
	return r
}

// explain returns each effective value of the item at levels[0] and its level.
func explain(levels []level) (x []Explained) {
	out := reflect.ValueOf(resolve(levels))
	t := reflect.TypeFor[Values]()
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		from := BuiltIn
		for _, l := range levels {
			if !reflect.ValueOf(l.values).Field(i).IsNil() {
				from = l.key
				break
			}
		}
		value := fmt.Sprint(out.FieldByName(f.Name).Interface())
		x = append(x, Explained{Name: name, Value: value, From: from})
	}
	return x
}

// RouteValues returns the effective values of a route.
func (t *Tree) RouteValues(name string) (Resolved, bool) {
	r, ok := t.resolved[RoutePrefix+name]
	return r, ok
}

// WorkspaceValues returns the effective values of a workspace.
func (t *Tree) WorkspaceValues(name string) (Resolved, bool) {
	r, ok := t.resolved[WorkspacePrefix+name]
	return r, ok
}

// RouteWorkspace returns the workspace that a route belongs to: the nearest workspace
// among its ancestors, if any.
func (t *Tree) RouteWorkspace(name string) (string, bool) {
	levels, err := t.levelsOf(RoutePrefix + name)
	if err != nil {
		return "", false
	}
	for _, l := range levels {
		if w, ok := strings.CutPrefix(l.key, WorkspacePrefix); ok {
			return w, true
		}
	}
	return "", false
}

// index validates all services, workspaces and routes and builds the look-up tables.
func (t *Tree) index() error {
	t.workspaceByHash = map[string]string{}
	t.workspaceByKeyID = map[string]string{}
	t.routeByModel = map[string]string{}
	t.allowedRegions = map[string][][]string{}
	t.resolved = make(map[string]Resolved, len(t.workspaces)+len(t.routes))
	for _, n := range slices.Sorted(maps.Keys(t.services)) {
		if err := t.checkService(n); err != nil {
			return err
		}
	}
	for _, n := range slices.Sorted(maps.Keys(t.workspaces)) {
		if err := t.indexWorkspace(n); err != nil {
			return err
		}
	}
	for _, n := range slices.Sorted(maps.Keys(t.routes)) {
		if err := t.indexRoute(n); err != nil {
			return err
		}
	}
	slices.SortFunc(t.plainRoutes, func(a, b string) int {
		return len(t.routes[b].Path) - len(t.routes[a].Path)
	})
	return nil
}

// checkService validates a service and resolves its values.
func (t *Tree) checkService(name string) error {
	key := ServicePrefix + name
	k := t.services[name].Kind
	if k != Generate && k != Plain {
		return eris.Errorf("%s: kind is %q; must be %s or %s", key, k, Generate, Plain)
	}
	return t.resolveItem(key)
}

// indexWorkspace validates a workspace, adds the hashes and ids of its API keys to the
// look-up tables and resolves its values. Neither a hash nor an id may occur twice in the
// tree.
func (t *Tree) indexWorkspace(name string) error {
	key := WorkspacePrefix + name
	for _, h := range t.workspaces[name].Keys {
		if b, err := hex.DecodeString(h); err != nil || len(b) != 32 || strings.ToLower(h) != h {
			return eris.Errorf("%s: keys: each must be a SHA-256 hash of 64 lower-case hex digits", key)
		}
		if other, ok := t.workspaceByHash[h]; ok {
			return eris.Errorf("%s: keys: hash %s… is also a key of %s%s", key, h[:KeyIDSize], WorkspacePrefix, other)
		}
		id := h[:KeyIDSize]
		if other, ok := t.workspaceByKeyID[id]; ok {
			return eris.Errorf("%s: keys: id %s is also the id of a key of %s%s", key, id, WorkspacePrefix, other)
		}
		t.workspaceByHash[h] = name
		t.workspaceByKeyID[id] = name
	}
	return t.resolveItem(key)
}

// indexRoute validates a route, adds its model or path to the look-up tables and resolves
// its values. Neither a model nor a path may have two routes.
func (t *Tree) indexRoute(name string) error {
	key := RoutePrefix + name
	r := t.routes[name]
	s, ok := t.services[r.Service]
	if !ok {
		return eris.Errorf("%s: service %q is not in the tree", key, r.Service)
	}
	if s.Kind == Generate {
		if r.Model == "" {
			return eris.Errorf("%s: model is empty; a route of a %s service needs one", key, Generate)
		}
		if other, ok := t.routeByModel[r.Model]; ok {
			return eris.Errorf("%s: model %q is also the model of %s%s", key, r.Model, RoutePrefix, other)
		}
		t.routeByModel[r.Model] = name
		return t.resolveItem(key)
	}
	if !strings.HasPrefix(r.Path, "/") {
		return eris.Errorf("%s: path is %q; must start with /", key, r.Path)
	}
	for _, o := range t.plainRoutes {
		if t.routes[o].Path == r.Path {
			return eris.Errorf("%s: path %q is also the path of %s%s", key, r.Path, RoutePrefix, o)
		}
	}
	t.plainRoutes = append(t.plainRoutes, name)
	return t.resolveItem(key)
}

// resolveItem computes, validates and stores the effective values of an item.
func (t *Tree) resolveItem(key string) error {
	levels, err := t.levelsOf(key)
	if err != nil {
		return err
	}
	r := resolve(levels)
	if err := r.check(); err != nil {
		return eris.Wrap(err, key)
	}
	t.resolved[key] = r
	t.bindRegions(key, levels)
	return nil
}

// check returns an error that names the first value out of range.
func (r Resolved) check() error {
	positive := []struct {
		name  string
		value int64
	}{
		{"rate", r.Rate},
		{"burst", r.Burst},
		{"weight", r.Weight},
		{"first-token", int64(r.FirstToken)},
		{"between-tokens", int64(r.BetweenTokens)},
		{"timeout", int64(r.Timeout)},
		{"patience", int64(r.Patience)},
		{"retry-window", int64(r.RetryWindow)},
		{"max-body", r.MaxBody},
		{"max-tokens", r.MaxTokens},
		{"cost", r.Cost},
	}
	for _, p := range positive {
		if p.value <= 0 {
			return eris.Errorf("%s is %d; must be above 0", p.name, p.value)
		}
	}
	if r.Class != Interactive && r.Class != Batch {
		return eris.Errorf("class is %q; must be %s or %s", r.Class, Interactive, Batch)
	}
	return nil
}
