// A content slice: the part of a generation's content that one agent needs, which is the service of
// its upstream and the pool of its worker. Agents don't fetch the whole content, because it grows
// with every job of every team, and an agent needs no job definitions: entries tell it which tasks
// to run. A pool is a set of workers of one kind, which services and jobs refer to by name.
//
// Agents request a slice with the RPC `generation_content`. A peer of an older release doesn't know
// slices: it ignores the scope and answers with the whole content. Agents accept both answers.
#pragma once

#include <optional>
#include <string>

#include <json/json.h>

#include "config/generation_events.h"
#include "config/generation_records.h"

namespace zinniabarrow::config {

class generation_follower;

// The slice of `wholeContent` for this scope: its service and pool, as far as they exist, and no
// jobs, teams or files.
generation_content makeSlice(const generation_content &wholeContent, const content_scope &scope);

// The query on the wire: {digest, scope?, have?}, where `have` is read_content::heldSliceDigest.
Json::Value toJson(const read_content &query);

// Throws error BadRequest on a malformed query. Call it before the query is handed to an actor: an
// exception in an actor's handler ends the actor.
read_content readContentFromJson(const Json::Value &value);

// The answer of a process to a peer's query, taken from the process's own follower `source`:
// {content} for a query without a scope, {slice, slice_digest} for one with a scope, {slice_digest}
// if the requester already holds that slice, or {} if the digest isn't that of the content in force
// here or if only a slice is held here.
Json::Value answerReadContent(const generation_follower &source, const read_content &query);

// Converts an answer to the event of the query with the number `request`. Without an answer the
// event says that the content was not found.
content_read contentReadFromJson(std::uint64_t request, const std::optional<Json::Value> &answer);

} // namespace zinniabarrow::config
