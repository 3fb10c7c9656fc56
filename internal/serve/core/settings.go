package core

import (
	"slices"
	"time"

	"piernotch"
)

// Route is how clients name a class: by the first part of the path and by whether retries are safe,
// which decides the method.
type Route struct {
	Name       string
	Idempotent bool
	Class      int           // index into the settings' classes
	ExpiresAt  time.Duration // not accepted from then on; 0: valid while the settings are
}

// routeGrace is how long a class is still accepted in its old form after its retry safety has
// changed: clients receive new settings at different times.
const routeGrace = 3 * time.Second

// Routes returns the routes in force.
func (c *Core) Routes() []Route { return c.routes }

// Settings returns the settings in force. Among the classes are placeholders, for indexes that no
// route leads to any more.
func (c *Core) Settings() piernotch.Settings { return c.settings }

func newRoute(class piernotch.Class, index int) Route {
	return Route{Name: class.Name, Idempotent: class.RetrySafety == piernotch.Idempotent, Class: index}
}

// routesOf returns the routes of classes whose indexes are their positions.
func routesOf(classes []piernotch.Class) []Route {
	var routes []Route
	for index, class := range classes {
		routes = append(routes, newRoute(class, index))
	}
	return routes
}

// handleSettingsChanged applies new settings completely or not at all.
func (c *Core) handleSettingsChanged(event SettingsChanged) {
	routes, err := c.applySettings(event.Settings)
	if err != nil {
		c.emit(SettingsApplied{Err: err})
		return
	}
	c.emit(SettingsApplied{Routes: routes})
	// The known endpoints remain until the new address has sent its complete list.
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

// classAssignment is the assignment of classes to indexes under construction.
type classAssignment struct {
	classes  []piernotch.Class
	reserved []bool // the index must not be given to another class
	current  []bool // the index holds a class that the new settings use
	routes   []Route
}

// assignClasses finds an index for each of the new classes. A class that stays keeps its own. If its
// retry safety changes it becomes another class, and the old one is accepted a little longer, since
// requests that were sent as idempotent remain so. An index is used again once no open request has it;
// until then it holds a placeholder, to which no route leads.
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

// classIndexes returns the indexes of the classes in force by name, without those that are accepted
// only for a while.
func (c *Core) classIndexes() map[string]int {
	indexes := map[string]int{}
	for _, route := range c.routes {
		if route.ExpiresAt == 0 {
			indexes[route.Name] = route.Class
		}
	}
	return indexes
}

// set gives an index to a class.
func (a *classAssignment) set(index int, class piernotch.Class) {
	a.classes[index] = class
	a.reserved[index] = true
	a.current[index] = true
	a.routes = append(a.routes, newRoute(class, index))
}

// retire leaves the class at an index as it is and has its route expire.
func (a *classAssignment) retire(index int, name string, expiresAt time.Duration) {
	a.reserved[index] = true
	a.current[index] = true
	route := newRoute(a.classes[index], index)
	route.Name = name
	route.ExpiresAt = expiresAt
	a.routes = append(a.routes, route)
}

// add gives a class the first free index, or a new one.
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

// fillPlaceholders replaces the classes that the new settings do not use.
func (a *classAssignment) fillPlaceholders(class piernotch.Class) {
	for index := range a.classes {
		if !a.current[index] {
			a.classes[index] = class
		}
	}
}
