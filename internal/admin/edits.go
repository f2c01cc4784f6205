package admin

import (
	"context"
	"crypto/rand"
	"slices"
	"strconv"

	"connectrpc.com/connect"

	adminv1 "github.com/barleystep/barleystep/api/admin/v1"
	"github.com/barleystep/barleystep/internal/config"
)

// Drain stops new work from being sent to a target, or allows it again.
func (a api) Drain(ctx context.Context, req *connect.Request[adminv1.DrainRequest]) (*connect.Response[adminv1.SubmitResponse], error) {
	name := req.Msg.GetTarget()
	v, err := a.edit(ctx, req.Msg.GetReason(), func(d config.Document) (config.Change, error) {
		t, err := decodeEntry[config.Target](d, config.KindTarget, name)
		if err != nil {
			return config.Change{}, err
		}
		t.Drain = req.Msg.GetDrain()
		return newChange(config.KindTarget, name, t)
	})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&adminv1.SubmitResponse{Version: v}), nil
}

// MakeKey creates a key for an account. Only its hash is stored.
func (a api) MakeKey(ctx context.Context, req *connect.Request[adminv1.MakeKeyRequest]) (*connect.Response[adminv1.MakeKeyResponse], error) {
	name := req.Msg.GetAccount()
	key := "bs-" + rand.Text()
	id := ""
	v, err := a.edit(ctx, req.Msg.GetReason(), func(d config.Document) (config.Change, error) {
		account, err := decodeEntry[config.Account](d, config.KindAccount, name)
		if err != nil {
			return config.Change{}, err
		}
		id = nextKeyID(account)
		account.Keys = append(account.Keys, config.Key{ID: id, SHA256: config.HashKey(key)})
		return newChange(config.KindAccount, name, account)
	})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&adminv1.MakeKeyResponse{Version: v, Id: id, Key: key}), nil
}

// nextKeyID returns the lowest number above the count of keys that no key has as its
// id.
func nextKeyID(a config.Account) string {
	for n := len(a.Keys) + 1; ; n++ {
		id := strconv.Itoa(n)
		if !slices.ContainsFunc(a.Keys, func(k config.Key) bool { return k.ID == id }) {
			return id
		}
	}
}

// RevokeKey revokes a key of an account.
func (a api) RevokeKey(ctx context.Context, req *connect.Request[adminv1.RevokeKeyRequest]) (*connect.Response[adminv1.SubmitResponse], error) {
	name := req.Msg.GetAccount()
	v, err := a.edit(ctx, req.Msg.GetReason(), func(d config.Document) (config.Change, error) {
		account, err := decodeEntry[config.Account](d, config.KindAccount, name)
		if err != nil {
			return config.Change{}, err
		}
		i := slices.IndexFunc(account.Keys, func(k config.Key) bool { return k.ID == req.Msg.GetId() })
		if i < 0 {
			return config.Change{}, errorf(connect.CodeNotFound, "Account %q has no key %q.", name, req.Msg.GetId())
		}
		account.Keys[i].Revoked = true
		return newChange(config.KindAccount, name, account)
	})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&adminv1.SubmitResponse{Version: v}), nil
}
