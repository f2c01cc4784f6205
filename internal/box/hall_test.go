package box_test

import (
	"context"
	"net/http/httptest"
	"testing"

	"github.com/frankban/quicktest"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/phuslu/log"

	"github.com/barleystep/barleystep/internal/box"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/config"
	"github.com/barleystep/barleystep/internal/metric"
	"github.com/barleystep/barleystep/internal/object"
	"github.com/barleystep/barleystep/internal/settings"
	"github.com/barleystep/barleystep/internal/standin"
	"github.com/barleystep/barleystep/internal/table"
	"github.com/barleystep/barleystep/internal/version"
)

const key = "dev-conversia"

func file(engineURL, serviceURL string) config.File {
	return config.File{
		Accounts: []config.Account{{Name: "conversia", Keys: []config.Key{{ID: "1", SHA256: config.HashKey(key)}}}},
		Classes:  []config.Class{{Name: "normal", Rank: 1}},
		Models:   []config.Model{{Name: "reader", EngineTokens: 400_000, MaxPrompt: 1_000_000, MaxOutput: 64}},
		Targets: []config.Target{
			{ID: "e1", Hall: "cluj", URL: engineURL, Model: "reader"},
			{ID: "s1", Hall: "cluj", URL: serviceURL, Service: "portal"},
		},
		Services: []config.Service{{Name: "portal"}},
	}
}

// start runs an entry box before one stand-in engine and returns its address.
func start(t *testing.T, e *standin.Engine) (url string) {
	c := quicktest.New(t)
	e.Clock = clock.System{}
	engines := httptest.NewServer(e)
	t.Cleanup(engines.Close)
	services := httptest.NewServer(&standin.Service{})
	t.Cleanup(services.Close)
	exporter, err := metric.NewExporter()
	c.Assert(err, quicktest.IsNil)
	b := &box.Entry{
		Settings: settings.Settings{
			Box:    settings.Box{ID: "b1", Hall: "cluj"},
			Listen: settings.Listen{Callers: "127.0.0.1:0"},
			Limits: settings.Limits{Notice: settings.Duration(1)},
		},
		Clock:    clock.System{},
		Table:    &table.Memory{},
		Objects:  &object.Memory{},
		Boxes:    &standin.Platform{},
		Exporter: exporter,
		Log:      &log.Logger{Level: log.PanicLevel},
	}
	submit(t, b, file(engines.URL, services.URL))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	b.Build(ctx)
	go func() { done <- b.Supervisor().Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	b.Follower().Await(1)
	<-b.Ready()
	return "http://" + b.CallersAddr()
}

// submit makes f the first version.
func submit(t *testing.T, b *box.Entry, f config.File) {
	c := quicktest.New(t)
	d, err := f.Document()
	c.Assert(err, quicktest.IsNil)
	store := &version.Store{Table: b.Table, Objects: b.Objects, Clock: b.Clock, Meter: metric.Discard()}
	_, err = store.Submit(context.Background(), config.Document{}, version.Submission{ID: "first", Document: d})
	c.Assert(err, quicktest.IsNil)
}

func TestOpenAIClient(t *testing.T) {
	c := quicktest.New(t)
	client := openai.NewClient(option.WithBaseURL(start(t, &standin.Engine{})+"/v1"), option.WithAPIKey(key))
	ctx := context.Background()
	params := openai.ChatCompletionNewParams{
		Model:     "reader",
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("Read this deed.")},
		MaxTokens: openai.Int(4),
	}
	whole, err := client.Chat.Completions.New(ctx, params)
	c.Assert(err, quicktest.IsNil)
	c.Assert(whole.Choices[0].Message.Content, quicktest.Matches, `(b1\.[0-9a-f]{16}\.1#\d ){4}`)

	stream := client.Chat.Completions.NewStreaming(ctx, params)
	text := ""
	for stream.Next() {
		for _, choice := range stream.Current().Choices {
			text += choice.Delta.Content
		}
	}
	c.Assert(stream.Err(), quicktest.IsNil)
	c.Assert(text, quicktest.Matches, `(b1\.[0-9a-f]{16}\.2#\d ){4}`)

	models, err := client.Models.List(ctx)
	c.Assert(err, quicktest.IsNil)
	c.Assert(models.Data[0].ID, quicktest.Equals, "reader")
}
