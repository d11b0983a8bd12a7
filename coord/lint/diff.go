package lint

import (
	"fmt"
	"reflect"
	"strings"

	"cranberrypoint.example/coord/rules"
)

// Change is a difference between two configurations.
type Change struct {
	Item string `json:"item"`
	// Field is the name of the value that differs; empty if the whole item was added or removed.
	Field string `json:"field"`
	From  string `json:"from"`
	To    string `json:"to"`
}

// Values of Change.From and Change.To of a whole item.
const (
	absent  = "absent"
	present = "present"
)

// diff returns the differences of a configuration from the one in force, in the order of the items there.
func diff(old, c rules.Config) []Change {
	l := diffItem(configItem, rules.Config{Version: old.Version}, rules.Config{Version: c.Version})
	l = append(l, diffItem("limits", old.Limits, c.Limits)...)
	l = append(l, diffItems(serviceKind, old.Services, c.Services, func(s rules.Service) string { return s.Name })...)
	l = append(l, diffItems(routeKind, old.Routes, c.Routes, func(r rules.Route) string { return r.Name })...)
	return append(l, diffItems(workspaceKind, old.Workspaces, c.Workspaces, func(w rules.Workspace) string { return w.Name })...)
}

// diffItems compares the items of a kind by their names.
func diffItems[T any](kind string, old, items []T, name func(T) string) (l []Change) {
	next := map[string]T{}
	for _, x := range items {
		next[name(x)] = x
	}
	known := map[string]bool{}
	for _, x := range old {
		n := name(x)
		known[n] = true
		if y, ok := next[n]; ok {
			l = append(l, diffItem(kind+n, x, y)...)
		} else {
			l = append(l, Change{Item: kind + n, From: present, To: absent})
		}
	}
	for _, x := range items {
		if n := name(x); !known[n] {
			l = append(l, Change{Item: kind + n, From: absent, To: present})
		}
	}
	return l
}

// diffItem compares the fields of two items of the same type. Keys are secret: only their number and that they
// differ is told.
func diffItem(item string, old, x any) (l []Change) {
	a, b := reflect.ValueOf(old), reflect.ValueOf(x)
	for i := range a.NumField() {
		from, to := a.Field(i).Interface(), b.Field(i).Interface()
		if reflect.DeepEqual(from, to) {
			continue
		}
		f := a.Type().Field(i)
		c := Change{item, f.Tag.Get("yaml"), format(from), format(to)}
		if f.Name == "Keys" {
			c.From, c.To = fmt.Sprintf("%d keys", a.Field(i).Len()), fmt.Sprintf("%d keys, not the same", b.Field(i).Len())
		}
		l = append(l, c)
	}
	return l
}

// format returns the text of a value, with that of what a pointer points to.
func format(v any) string {
	x := reflect.ValueOf(v)
	if x.Kind() != reflect.Pointer {
		return strings.TrimSpace(fmt.Sprintf("%+v", v))
	}
	if x.IsNil() {
		return absent
	}
	return fmt.Sprintf("%+v", x.Elem().Interface())
}
