// Package hibiscuscove is a router for language-model traffic with long shared
// prompts.
//
// A Node accepts requests in the OpenAI API and forwards them to upstreams, which
// are model engines and plain services. Many nodes form a fleet without a separate
// coordination service. Durable state is stored through the platform's object API.
//
// # Usage
//
//	s, problems, err := hibiscuscove.LoadSettings("node.json")
//	if err != nil || len(problems) > 0 {
//		// Print the problems and exit.
//	}
//	n, err := hibiscuscove.NewNode(s, &hibiscuscove.NodeOptions{})
//	if err != nil {
//		return err
//	}
//	return n.Run(ctx)
package hibiscuscove

import (
	"context"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"github.com/hibiscuscove/hibiscuscove/internal/node"
	"github.com/hibiscuscove/hibiscuscove/internal/settings"
	"github.com/hibiscuscove/hibiscuscove/internal/strictjson"
)

// Settings are the settings of one node. DefaultSettings returns the defaults of
// the optional ones.
type Settings = settings.Settings

// Secret is a string in Settings that is never written to logs or dumps.
type Secret = settings.Secret

// Problem is an error in settings, with the field and the reason.
type Problem = strictjson.Problem

// DefaultSettings returns the defaults of the settings that a file may omit.
func DefaultSettings() Settings { return settings.Default() }

// LoadSettings reads settings from a JSON file and returns all problems in it. The
// error is non-nil if the file can't be read.
func LoadSettings(path string) (Settings, []Problem, error) {
	s, problems, err := settings.Load(path)
	if err != nil {
		return Settings{}, nil, fmt.Errorf("hibiscuscove: %w", err)
	}
	return s, problems, nil
}

// NodeOptions are options for NewNode. The zero value is valid.
type NodeOptions struct {
	// Log receives the log lines about changes of state. The default logs nothing.
	Log zerolog.Logger
}

// Node is one node of a fleet. It is safe for concurrent use.
type Node struct {
	inner *node.Node
}

// NewNode creates a node and listens on its addresses. opts may be nil. It returns
// an error if the settings have a problem or an address is already in use.
func NewNode(s Settings, opts *NodeOptions) (*Node, error) {
	if opts == nil {
		opts = &NodeOptions{}
	}
	s = s.WithAddresses()
	if problems := s.Check(); len(problems) > 0 {
		return nil, fmt.Errorf("hibiscuscove: %s", problems[0])
	}
	inner, err := node.New(s, node.Options{Now: time.Now, Log: opts.Log})
	if err != nil {
		return nil, fmt.Errorf("hibiscuscove: %w", err)
	}
	return &Node{inner: inner}, nil
}

// Run serves until ctx is done or Stop is called. The node then leaves the fleet
// gracefully: Run returns once the open requests have ended, and cuts none.
func (n *Node) Run(ctx context.Context) error {
	if err := n.inner.Run(ctx); err != nil {
		return fmt.Errorf("hibiscuscove: %w", err)
	}
	return nil
}

// Stop starts a graceful stop and returns at once. It may be called more than
// once.
func (n *Node) Stop() { n.inner.Stop() }

// Ready reports whether the node has joined the fleet and has a configuration.
func (n *Node) Ready() bool { return n.inner.Ready() }
