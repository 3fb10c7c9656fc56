package core

import (
	"slices"
	"time"

	"piernotch"
)

// Route says which requests belong to a class: those whose path has Name as its first part, and whose
// method is GET if Idempotent is true and POST otherwise. While a class has two routes with one method,
// Keyed says whether the requests of a route carry an idempotency key.
type Route struct {
	Name       string
	Idempotent bool
	Keyed      bool
	Class      int           // index into the settings' classes
	ExpiresAt  time.Duration // the route is not accepted from then on; 0: valid until the settings change
}

// routeGrace is how long the old route of a class is still accepted after the class's retry safety has
// changed, since clients receive new settings at different times.
const routeGrace = 3 * time.Second

// Routes returns the routes of the settings in force, including expired routes.
func (c *Core) Routes() []Route { return c.routes }

// Settings returns the settings in force. Their Classes hold placeholders at indexes that no route
// refers to any more.
func (c *Core) Settings() piernotch.Settings { return c.settings }

func newRoute(class piernotch.Class, index int) Route {
	return Route{
		Name:       class.Name,
		Idempotent: class.RetrySafety == piernotch.Idempotent,
		Keyed:      class.RetrySafety == piernotch.IdempotencyKey,
		Class:      index,
	}
}

// routesOf returns the routes of classes. The index of a class is its position.
func routesOf(classes []piernotch.Class) []Route {
	var routes []Route
	for index, class := range classes {
		routes = append(routes, newRoute(class, index))
	}
	return routes
}

// handleSettingsChanged applies the new settings and the address of discovery, or neither if the
// settings are invalid.
func (c *Core) handleSettingsChanged(event SettingsChanged) {
	routes, err := c.applySettings(event.Settings)
	if err != nil {
		c.emit(SettingsApplied{Err: err})
		return
	}
	c.emit(SettingsApplied{Routes: routes})
	// The known endpoints stay in use until discovery at the new address has sent its complete list.
	if event.Discovery != c.discovery {
		c.discovery = event.Discovery
		c.emit(MoveDiscovery{event.Discovery})
	}
}

func (c *Core) applySettings(settings piernotch.Settings) ([]Route, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	assigned := c.assignClasses(settings.Classes)
	settings.Classes = assigned.classes
	if err := c.balancer.UpdateSettings(c.now, settings); err != nil {
		return nil, err
	}
	c.settings = settings
	c.routes = assigned.routes
	return assigned.routes, nil
}

// classAssignment is an assignment of classes to indexes while it is built up.
type classAssignment struct {
	classes  []piernotch.Class
	reserved []bool // the index must not be given to another class
	current  []bool // the index has a route
	routes   []Route
}

// assignClasses assigns an index to each of the new classes. A class that remains keeps its index. A
// class whose retry safety has changed gets another index, since requests that were sent as idempotent
// remain idempotent. The old class is accepted for routeGrace longer, or until the settings change
// again. An index is reused once no open request and no route refers to it. An index without a route
// holds a placeholder.
func (c *Core) assignClasses(next []piernotch.Class) *classAssignment {
	assigned := &classAssignment{
		classes:  slices.Clone(c.settings.Classes),
		reserved: make([]bool, len(c.settings.Classes)),
		current:  make([]bool, len(c.settings.Classes)),
	}
	for _, request := range c.requests {
		assigned.reserved[request.class] = true
	}
	indexes := c.classIndexes()
	var added []piernotch.Class
	for _, class := range next {
		index, known := indexes[class.Name]
		delete(indexes, class.Name)
		if known && assigned.classes[index].RetrySafety == class.RetrySafety {
			assigned.set(index, class)
			continue
		}
		if known {
			assigned.retire(index, class.Name, c.now+routeGrace)
		}
		added = append(added, class)
	}
	for _, class := range added {
		assigned.add(class)
	}
	assigned.fillPlaceholders(next[0])
	return assigned
}

// classIndexes returns the indexes of the classes in force by name, without classes whose route
// expires.
func (c *Core) classIndexes() map[string]int {
	indexes := map[string]int{}
	for _, route := range c.routes {
		if route.ExpiresAt == 0 {
			indexes[route.Name] = route.Class
		}
	}
	return indexes
}

// set puts a class at an index and adds its route.
func (a *classAssignment) set(index int, class piernotch.Class) {
	a.classes[index] = class
	a.reserved[index] = true
	a.current[index] = true
	a.routes = append(a.routes, newRoute(class, index))
}

// retire keeps the class at an index and adds an expiring route to that class.
func (a *classAssignment) retire(index int, name string, expiresAt time.Duration) {
	a.reserved[index] = true
	a.current[index] = true
	route := newRoute(a.classes[index], index)
	route.Name = name
	route.ExpiresAt = expiresAt
	a.routes = append(a.routes, route)
}

// add puts a class at the first index that is not reserved, or at a new index.
func (a *classAssignment) add(class piernotch.Class) {
	index := slices.Index(a.reserved, false)
	if index < 0 {
		index = len(a.classes)
		a.classes = append(a.classes, class)
		a.reserved = append(a.reserved, true)
		a.current = append(a.current, true)
	}
	a.set(index, class)
}

// fillPlaceholders puts class, as a placeholder, at each index without a route.
func (a *classAssignment) fillPlaceholders(class piernotch.Class) {
	for index := range a.classes {
		if !a.current[index] {
			a.classes[index] = class
		}
	}
}
