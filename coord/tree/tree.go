// Package tree decodes, validates and resolves the settings of the fleet, a tree of items.
//
// The platform stores each item as a YAML value under one of the keys "root",
// "services/NAME", "workspaces/NAME" and "routes/NAME". An item inherits the values that
// it doesn't set from its parent. Unless it names another item as its parent, a service
// or a workspace inherits from the root, and a route from its service. An item and its
// ancestors up to the root are the levels that an effective value may come from.
//
// A Tree is immutable; With returns a new one with some items changed.
package tree

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"maps"
	"slices"
	"strings"

	"cranberrypoint.example/coord/fault"
	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"
)

// The key of the root and the key prefixes of the other items.
const (
	RootKey         = "root"
	ServicePrefix   = "services/"
	WorkspacePrefix = "workspaces/"
	RoutePrefix     = "routes/"
)

// KeyIDSize is the length of an API key's id: the first hex digits of the key's hash.
const KeyIDSize = 16

// Tree is a valid settings tree at one revision.
type Tree struct {
	revision   uint64
	root       Root
	services   map[string]Service
	workspaces map[string]Workspace
	routes     map[string]Route
	// workspaceByHash and workspaceByKeyID hold the workspace of each API key, by the
	// hash of the key and by its id.
	workspaceByHash  map[string]string
	workspaceByKeyID map[string]string
	// routeByModel holds the route of each model.
	routeByModel map[string]string
	// plainRoutes are the routes of plain services, longest path first.
	plainRoutes []string
	// resolved holds the effective values of each item but the root, by key.
	resolved map[string]Resolved
	// allowedRegions holds the lists of regions that bind an item, by key: its own and those of its
	// ancestors. Items without any have no entry.
	allowedRegions map[string][][]string
}

// Change is a new YAML value of a key, or the deletion of the key.
type Change struct {
	Key     string
	Value   []byte
	Deleted bool
}

// Empty returns a tree at revision 0 with a root that sets nothing and no other item.
func Empty() *Tree {
	t := &Tree{
		services:   map[string]Service{},
		workspaces: map[string]Workspace{},
		routes:     map[string]Route{},
	}
	if err := t.index(); err != nil {
		panic(err)
	}
	return t
}

// Owns reports whether a key belongs to the settings tree.
func Owns(key string) bool {
	return key == RootKey || strings.HasPrefix(key, ServicePrefix) ||
		strings.HasPrefix(key, WorkspacePrefix) || strings.HasPrefix(key, RoutePrefix)
}

// With returns a copy of the tree at a revision with changes applied. If any item of it
// would be invalid, With returns an error that names the key and, for invalid YAML, the
// line.
func (t *Tree) With(revision uint64, changes []Change) (n *Tree, err error) {
	defer fault.Annotate(&err, "settings at revision %d", revision)
	n = &Tree{
		revision:   revision,
		root:       t.root,
		services:   maps.Clone(t.services),
		workspaces: maps.Clone(t.workspaces),
		routes:     maps.Clone(t.routes),
	}
	for _, c := range changes {
		if err := n.apply(c); err != nil {
			return nil, err
		}
	}
	if err := n.index(); err != nil {
		return nil, err
	}
	return n, nil
}

// FromDoc returns the tree of a YAML document with the fields of Doc.
func FromDoc(revision uint64, b []byte) (t *Tree, err error) {
	defer fault.Annotate(&err, "settings document")
	changes, err := Split(b)
	if err != nil {
		return nil, err
	}
	return Empty().With(revision, changes)
}

// Split returns the items of a YAML document with the fields of Doc as changes, one for
// each key. It does not validate the items.
func Split(b []byte) (changes []Change, err error) {
	var d Doc
	if err := decodeStrict(b, &d); err != nil {
		return nil, err
	}
	add := func(key string, v any) {
		if err != nil {
			return
		}
		var e []byte
		e, err = yaml.Marshal(v)
		changes = append(changes, Change{Key: key, Value: e})
	}
	add(RootKey, d.Root)
	for _, n := range slices.Sorted(maps.Keys(d.Services)) {
		add(ServicePrefix+n, d.Services[n])
	}
	for _, n := range slices.Sorted(maps.Keys(d.Workspaces)) {
		add(WorkspacePrefix+n, d.Workspaces[n])
	}
	for _, n := range slices.Sorted(maps.Keys(d.Routes)) {
		add(RoutePrefix+n, d.Routes[n])
	}
	return changes, err
}

// apply decodes a change and sets or deletes its item.
func (t *Tree) apply(c Change) (err error) {
	defer fault.Annotate(&err, "%s", c.Key)
	kind, name, _ := strings.Cut(c.Key, "/")
	switch kind + "/" {
	case RootKey + "/":
		t.root, err = decode[Root](c)
	case ServicePrefix:
		err = applyTo(t.services, name, c)
	case WorkspacePrefix:
		err = applyTo(t.workspaces, name, c)
	case RoutePrefix:
		err = applyTo(t.routes, name, c)
	default:
		err = eris.New("unknown key; must be root, or begin with services/, workspaces/ or routes/")
	}
	return err
}

// applyTo applies a change to the item called name in m.
func applyTo[T any](m map[string]T, name string, c Change) error {
	if name == "" {
		return eris.New("the name is empty")
	}
	if c.Deleted {
		delete(m, name)
		return nil
	}
	v, err := decode[T](c)
	if err != nil {
		return err
	}
	m[name] = v
	return nil
}

// decode returns the new value of a change, or the zero value if the key is deleted.
func decode[T any](c Change) (v T, err error) {
	if c.Deleted {
		return v, nil
	}
	return v, decodeStrict(c.Value, &v)
}

// decodeStrict decodes the YAML document b into v and rejects unknown fields. An empty
// document leaves v unchanged.
func decodeStrict(b []byte, v any) error {
	d := yaml.NewDecoder(bytes.NewReader(b))
	d.KnownFields(true)
	err := d.Decode(v)
	if err == io.EOF {
		return nil
	}
	return err
}

// Revision returns the revision that the tree was made at.
func (t *Tree) Revision() uint64 { return t.revision }

// DataCentres returns the data centres among which the limits of workspaces are divided.
func (t *Tree) DataCentres() []string { return t.root.DataCentres }

// SealedRevision returns Root.SealedRevision, which is 0 if the operator has not set it.
func (t *Tree) SealedRevision() uint64 { return t.root.SealedRevision }

// WorkspaceCount returns the number of workspaces.
func (t *Tree) WorkspaceCount() int { return len(t.workspaces) }

// WorkspaceNames returns the names of all workspaces in alphabetical order.
func (t *Tree) WorkspaceNames() []string {
	return slices.Sorted(maps.Keys(t.workspaces))
}

// Route returns the route with a name.
func (t *Tree) Route(name string) (Route, bool) {
	r, ok := t.routes[name]
	return r, ok
}

// ServiceKind returns the kind of a service, or "" if there is no such service.
func (t *Tree) ServiceKind(name string) string { return t.services[name].Kind }

// RouteOfModel returns the name of the route that serves a model.
func (t *Tree) RouteOfModel(model string) (string, bool) {
	r, ok := t.routeByModel[model]
	return r, ok
}

// Models returns the names of the models that routes serve, in alphabetical order.
func (t *Tree) Models() []string {
	return slices.Sorted(maps.Keys(t.routeByModel))
}

// RouteOfPath returns the name of the route whose path is the longest prefix of path.
// Prefixes end at a slash: /a matches /a and /a/b but not /ab.
func (t *Tree) RouteOfPath(path string) (string, bool) {
	for _, n := range t.plainRoutes {
		p := t.routes[n].Path
		if path == p || strings.HasPrefix(path, strings.TrimSuffix(p, "/")+"/") {
			return n, true
		}
	}
	return "", false
}

// MaxBody returns the largest body that any route of a model accepts, in bytes, but at
// least the built-in limit.
func (t *Tree) MaxBody() int64 {
	n := builtIn.MaxBody
	for _, r := range t.routeByModel {
		n = max(n, t.resolved[RoutePrefix+r].MaxBody)
	}
	return n
}

// HashKey returns the hash of an API key in the form in which workspaces list it.
func HashKey(key string) string {
	s := sha256.Sum256([]byte(key))
	return hex.EncodeToString(s[:])
}

// Authenticate returns the workspace and the id of the API key with a hash.
func (t *Tree) Authenticate(hash string) (workspace, id string, ok bool) {
	w, ok := t.workspaceByHash[hash]
	if !ok {
		return "", "", false
	}
	return w, hash[:KeyIDSize], true
}

// KeyGranted reports whether a workspace lists the API key with an id.
func (t *Tree) KeyGranted(workspace, id string) bool {
	w, ok := t.workspaceByKeyID[id]
	return ok && w == workspace
}
