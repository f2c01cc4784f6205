// Command caller sends one question to the local hall that "make run" starts, and prints the
// answer as it arrives.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
)

func main() {
	if err := run(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "caller:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context) error {
	client := openai.NewClient(
		option.WithBaseURL("http://127.0.0.1:8080/v1"),
		option.WithAPIKey("dev-conversia"),
		option.WithHeader("Barleystep-Class", "urgent"),
		option.WithHeader("Barleystep-Time-Limit", "30s"),
	)
	stream := client.Chat.Completions.NewStreaming(ctx, openai.ChatCompletionNewParams{
		Model:     "reader",
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("Read this deed.")},
		MaxTokens: openai.Int(8),
	})
	for stream.Next() {
		for _, choice := range stream.Current().Choices {
			fmt.Print(choice.Delta.Content)
		}
	}
	fmt.Println()
	return stream.Err()
}
