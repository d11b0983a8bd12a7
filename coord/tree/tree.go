// Package tree decodes, checks and resolves the settings tree.
//
// The platform keeps the tree as YAML values under the keys "root", "services/N",
// "workspaces/N" and "routes/N". A level inherits what it doesn't override from its
// parent: by default a service and a workspace from the root, a route from its
// service. A Tree is immutable; With returns a new one with some values changed.
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

// Key prefixes of the levels.
const (
	RootKey         = "root"
	ServicePrefix   = "services/"
	WorkspacePrefix = "workspaces/"
	RoutePrefix     = "routes/"
)

// KeyIDSize is the number of hex digits of a key's hash that name the key.
const KeyIDSize = 16

// Tree is a checked settings tree at one revision.
type Tree struct {
	revision   uint64
	root       Root
	services   map[string]Service
	workspaces map[string]Workspace
	routes     map[string]Route
	byHash     map[string]string
	byKeyID    map[string]string
	byModel    map[string]string
	plain      []string
	resolved   map[string]Resolved
}

// Change is a new value of a key, or its removal.
type Change struct {
	Key     string
	Value   []byte
	Deleted bool
}

// Empty returns a tree without any item, at revision 0.
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

// With returns a tree with changes applied at a revision. A tree that does not
// check is refused whole, with the key and line at fault.
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

// FromDoc returns the tree of a whole document.
func FromDoc(revision uint64, b []byte) (t *Tree, err error) {
	defer fault.Annotate(&err, "settings document")
	changes, err := Split(b)
	if err != nil {
		return nil, err
	}
	return Empty().With(revision, changes)
}

// Split returns the values under keys of a whole document.
func Split(b []byte) (changes []Change, err error) {
	var d Doc
	if err := strict(b, &d); err != nil {
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

func (t *Tree) apply(c Change) (err error) {
	defer fault.Annotate(&err, "%s", c.Key)
	level, name, _ := strings.Cut(c.Key, "/")
	switch level + "/" {
	case RootKey + "/":
		t.root, err = decode[Root](c)
	case ServicePrefix:
		err = put(t.services, name, c)
	case WorkspacePrefix:
		err = put(t.workspaces, name, c)
	case RoutePrefix:
		err = put(t.routes, name, c)
	default:
		err = eris.New("unknown level; root, services, workspaces or routes would be right")
	}
	return err
}

func put[T any](m map[string]T, name string, c Change) error {
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

func decode[T any](c Change) (v T, err error) {
	if c.Deleted {
		return v, nil
	}
	return v, strict(c.Value, &v)
}

func strict(b []byte, v any) error {
	d := yaml.NewDecoder(bytes.NewReader(b))
	d.KnownFields(true)
	err := d.Decode(v)
	if err == io.EOF {
		return nil
	}
	return err
}

// Revision returns the revision of the newest change in the tree.
func (t *Tree) Revision() uint64 { return t.revision }

// DataCentres returns the data centres that share the limits.
func (t *Tree) DataCentres() []string { return t.root.DataCentres }

// SealedRevision returns the revision before which no list of VMs is in use, by the
// operator's word.
func (t *Tree) SealedRevision() uint64 { return t.root.SealedRevision }

// WorkspaceCount returns the number of workspaces.
func (t *Tree) WorkspaceCount() int { return len(t.workspaces) }

// WorkspaceNames returns the names of all workspaces in order.
func (t *Tree) WorkspaceNames() []string {
	return slices.Sorted(maps.Keys(t.workspaces))
}

// Route returns the route of a name.
func (t *Tree) Route(name string) (Route, bool) {
	r, ok := t.routes[name]
	return r, ok
}

// ServiceKind returns the kind of a service.
func (t *Tree) ServiceKind(name string) string { return t.services[name].Kind }

// RouteOfModel returns the name of the generated route that serves a model.
func (t *Tree) RouteOfModel(model string) (string, bool) {
	r, ok := t.byModel[model]
	return r, ok
}

// Models returns the model names that routes serve, in order.
func (t *Tree) Models() []string {
	return slices.Sorted(maps.Keys(t.byModel))
}

// RouteOfPath returns the name of the plain route with the longest path prefix.
func (t *Tree) RouteOfPath(path string) (string, bool) {
	for _, n := range t.plain {
		p := t.routes[n].Path
		if path == p || strings.HasPrefix(path, strings.TrimSuffix(p, "/")+"/") {
			return n, true
		}
	}
	return "", false
}

// MaxBody returns the largest max-body of the generated routes, in bytes.
func (t *Tree) MaxBody() int64 {
	n := builtIn.MaxBody
	for _, r := range t.byModel {
		n = max(n, t.resolved[RoutePrefix+r].MaxBody)
	}
	return n
}

// HashKey returns the hash of a key, in hex, as the tree holds it.
func HashKey(key string) string {
	s := sha256.Sum256([]byte(key))
	return hex.EncodeToString(s[:])
}

// Authenticate returns the workspace and the id of the key with a hash.
func (t *Tree) Authenticate(hash string) (workspace, id string, ok bool) {
	w, ok := t.byHash[hash]
	if !ok {
		return "", "", false
	}
	return w, hash[:KeyIDSize], true
}

// KeyGranted reports whether the key of an id is granted to a workspace.
func (t *Tree) KeyGranted(workspace, id string) bool {
	w, ok := t.byKeyID[id]
	return ok && w == workspace
}
