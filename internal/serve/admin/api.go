package admin

import (
	"encoding/json"
	"errors"
	"fmt"

	"piernotch/internal/http1"
	"piernotch/internal/serve/overrides"
)

const readyPath = "/api/ready"

// actions maps the paths of calls that change something to their actions.
var actions = map[string]overrides.Action{
	"/api/exclude":  overrides.Exclude,
	"/api/include":  overrides.Include,
	"/api/evacuate": overrides.Evacuate,
	"/api/rejoin":   overrides.Rejoin,
}

// maxNameLength is the maximum length of a server's name, in bytes.
const maxNameLength = 256

// serve handles a call: it responds at once, or passes the call's action to Server.execute.
func (c *connection) serve(request *http1.Message) {
	path := request.Path()
	c.operation = path
	if path == readyPath {
		if c.requireMethod(request, http1.MethodGet) {
			c.serveReady()
		}
		return
	}
	action, known := actions[path]
	if !known {
		c.respond(http1.StatusNotFound, "no such call")
		return
	}
	if c.requireMethod(request, http1.MethodPost) {
		c.serveAction(action, request.Body)
	}
}

// requireMethod reports whether the request has the method, and responds with an error if not.
func (c *connection) requireMethod(request *http1.Message, method string) bool {
	if request.Method == method {
		return true
	}
	c.respond(http1.StatusMethodNotAllowed, "use "+method, http1.Field{Name: "Allow", Value: method})
	return false
}

func (c *connection) serveReady() {
	if c.server.Ready() {
		c.respond(http1.StatusOK, "yes")
	} else {
		c.respond(http1.StatusServiceUnavailable, "no list of feed servers yet, or ending")
	}
}

func (c *connection) serveAction(action overrides.Action, body []byte) {
	server := ""
	if action.ConcernsServer() {
		var err error
		server, err = parseServerName(body)
		if err != nil {
			c.respond(http1.StatusBadRequest, err.Error())
			return
		}
		c.operation += " " + server
	}
	c.server.execute(c, action, server)
}

// parseServerName reads the name from a body of the form {"name":"ID"}. The texts of its errors are
// sent to the caller.
func parseServerName(body []byte) (string, error) {
	var in struct {
		Name *string `json:"name"`
	}
	err := json.Unmarshal(body, &in)
	switch {
	case err != nil:
		return "", fmt.Errorf("the body is not JSON of the form {\"name\":\"ID\"}: %w", err)
	case in.Name == nil || *in.Name == "":
		return "", errors.New("name is missing")
	case len(*in.Name) > maxNameLength:
		return "", fmt.Errorf("name is longer than %d bytes", maxNameLength)
	}
	return *in.Name, nil
}
