// The part of a generation's content that one agent works by: its own service and pool. The whole
// grows with every job of every team, and an agent has use for none of them.
//
// Asked with `generation_content`, where a peer that knows no slices ignores the scope and answers
// the whole; both answers are taken.
#pragma once

#include <optional>
#include <string>

#include <json/json.h>

#include "config/generation_events.h"
#include "config/generation_records.h"

namespace zinniabarrow::config {

class generation_follower;

generation_content makeSlice(const generation_content &wholeContent, const content_scope &scope);

// {digest, scope?, have?}: what a process asks for, and the answer of one that works by that
// generation: {content}, {slice, slice_digest}, {slice_digest} when the asker has it, or {} when it
// works by another generation.
// The reader throws error BadRequest: call it before the question reaches a duty.
Json::Value toJson(const read_content &query);
read_content readContentFromJson(const Json::Value &value);
Json::Value answerReadContent(const generation_follower &source, const read_content &query);

// The answer as an event; nothing when none came.
content_read contentReadFromJson(std::uint64_t request, const std::optional<Json::Value> &answer);

} // namespace zinniabarrow::config
