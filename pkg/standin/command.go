// Package standin implements the command that runs stand-ins for the systems around the router.
//
// Usage:
//
//	root.Subcommands = append(root.Subcommands, standin.NewCommand(os.Stdout))
package standin

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/netip"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/cuminroute/cuminroute/pkg/layer"
	"github.com/cuminroute/cuminroute/pkg/standin/engine"
	"github.com/cuminroute/cuminroute/pkg/standin/fleet"
	"github.com/cuminroute/cuminroute/pkg/standin/platform"
	"github.com/cuminroute/cuminroute/pkg/standin/service"
)

// started is the JSON line that a subcommand prints once its stand-in listens.
type started struct {
	Standin string         `json:"Standin"`
	Address netip.AddrPort `json:"Address"`
}

// NewCommand returns the command standin. Each subcommand prints the address of its stand-in and runs
// until the context ends. Faults are set at the path /faults of that address.
func NewCommand(stdout io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name: "standin", ShortUsage: "cuminroute standin engine|service|platform|fleet [flags]",
		ShortHelp:   "run a stand-in on loopback",
		Subcommands: []*ffcli.Command{newEngine(stdout), newService(stdout), newPlatform(stdout), newFleet(stdout)},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
}

// serve prints the address of a stand-in and waits until the context ends.
func serve(ctx context.Context, stdout io.Writer, name string, at netip.AddrPort) error {
	if err := json.NewEncoder(stdout).Encode(started{name, at}); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

// listenFlag adds the flag for the listen address of a stand-in.
func listenFlag(flags *flag.FlagSet) *netip.AddrPort {
	address := netip.MustParseAddrPort("127.0.0.1:0")
	flags.TextVar(&address, "listen", address, "loopback `address` to listen at; port 0 takes a free one")
	return &address
}

func subcommand(name, help string, flags *flag.FlagSet, exec func(ctx context.Context) error) *ffcli.Command {
	return &ffcli.Command{
		Name: name, ShortUsage: "cuminroute standin " + name + " [flags]", ShortHelp: help, FlagSet: flags,
		Exec: func(ctx context.Context, _ []string) error {
			if err := exec(ctx); err != nil {
				return fmt.Errorf("standin %s: %w", name, err)
			}
			return nil
		},
	}
}

func newEngine(stdout io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("cuminroute standin engine", flag.ContinueOnError)
	name := flags.String("name", "engine", "name in reports")
	model := flags.String("model", fleet.Model, "model")
	layers := flags.Int("layers", fleet.Layers, "layers of the whole model")
	first := flags.Int("first", 0, "first layer held")
	end := flags.Int("end", fleet.Layers, "end of the layers held")
	kind := flags.String("accelerator", engine.Accelerators[0].Name, "A8, A4, A2 or A1, fastest first")
	slower := flags.Int("slower", 1, "factor on all times")
	listen := listenFlag(flags)
	fence := flags.Bool("fence", true, "refuse orders with an old fencing number")
	return subcommand("engine", "a model engine", flags, func(ctx context.Context) error {
		held := layer.Range{First: *first, End: *end}
		if !(layer.Range{End: *layers}).Contains(held) || !held.Valid() {
			return fmt.Errorf("layer range %s is empty or not within the %d layers of the model", held, *layers)
		}
		s, err := engine.New(engine.WithName(*name), engine.WithModel(*model, *layers, held), engine.WithRecording(false),
			engine.WithAccelerator(engine.AcceleratorByName(*kind).SlowedBy(*slower)), engine.WithFenceCheck(*fence),
			engine.WithAddress(*listen))
		if err != nil {
			return err
		}
		defer s.Close()
		return serve(ctx, stdout, "engine", s.Addr())
	})
}

func newService(stdout io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("cuminroute standin service", flag.ContinueOnError)
	name := flags.String("name", fleet.Service, "name in answers")
	listen := listenFlag(flags)
	return subcommand("service", "an order and stock service", flags, func(ctx context.Context) error {
		s, err := service.New(*name, service.WithAddress(*listen))
		if err != nil {
			return err
		}
		defer s.Close()
		return serve(ctx, stdout, "service", s.Addr())
	})
}

func newPlatform(stdout io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("cuminroute standin platform", flag.ContinueOnError)
	listen := listenFlag(flags)
	return subcommand("platform", "table service, object store, instance list and weight store", flags, func(ctx context.Context) error {
		s, err := platform.New(platform.WithAddress(*listen))
		if err != nil {
			return err
		}
		defer s.Close()
		return serve(ctx, stdout, "platform", s.Addr())
	})
}

func newFleet(stdout io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("cuminroute standin fleet", flag.ContinueOnError)
	seed := flags.Uint64("seed", 1, "seed of the links")
	return subcommand("fleet", "a platform that lists 40 model workers and 3 services; prints the platform's address", flags, func(ctx context.Context) error {
		f, err := fleet.New(ctx, fleet.Options{Seed: *seed})
		if err != nil {
			return err
		}
		defer f.Close()
		return serve(ctx, stdout, "platform", f.Platform.Addr())
	})
}
