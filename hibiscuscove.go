// Package hibiscuscove is a router for language-model traffic with long shared
// prompts.
//
// A Node stands between callers, who speak the OpenAI API, and upstreams:
// model engines and plain services. Many nodes form a fleet without a
// coordination service of their own. What must last is kept in the platform's
// object API.
//
// # Usage
//
//	s, problems, err := hibiscuscove.LoadSettings("node.json")
//	if err != nil || len(problems) > 0 {
//		// Print the problems and end.
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

// Settings are the settings of one node. DefaultSettings returns those that a
// file need not name.
type Settings = settings.Settings

// Secret is a text in Settings that never shows in logs or dumps.
type Secret = settings.Secret

// Problem is one mistake in settings, with the field and the reason.
type Problem = strictjson.Problem

// DefaultSettings returns the settings that a file need not name.
func DefaultSettings() Settings { return settings.Default() }

// LoadSettings reads a JSON file and returns every problem in it. The error is
// for a file that can't be read.
func LoadSettings(path string) (Settings, []Problem, error) {
	s, problems, err := settings.Load(path)
	if err != nil {
		return Settings{}, nil, fmt.Errorf("hibiscuscove: %w", err)
	}
	return s, problems, nil
}

// NodeOptions sets up a Node. The zero value works.
type NodeOptions struct {
	// Log takes the lines on changes of state. The default logs nothing.
	Log zerolog.Logger
}

// Node is one node of a fleet. It is safe for concurrent use.
type Node struct {
	inner *node.Node
}

// NewNode builds a node and opens its addresses. It returns an error if the
// settings have a problem or an address is taken.
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

// Run serves until ctx ends or Stop is called, then leaves the fleet
// gracefully: no open request is cut. It returns once the last has ended.
func (n *Node) Run(ctx context.Context) error {
	if err := n.inner.Run(ctx); err != nil {
		return fmt.Errorf("hibiscuscove: %w", err)
	}
	return nil
}

// Stop begins a graceful stop. It may be called more than once.
func (n *Node) Stop() { n.inner.Stop() }

// Ready reports whether the node has joined and has a configuration.
func (n *Node) Ready() bool { return n.inner.Ready() }
