#include "config/content_slice.h"

#include "base/json_member.h"
#include "config/generation_follower.h"

namespace zinniabarrow::config {

namespace {

template <typename Items>
void copyNamed(Items &to, const Items &from, const std::string &name)
{
    const auto found = from.find(name);
    if (found != from.end())
        to.insert(*found);
}

} // namespace

generation_content makeSlice(const generation_content &wholeContent, const content_scope &scope)
{
    generation_content slice;
    copyNamed(slice.mergedConfig.services, wholeContent.mergedConfig.services, scope.service);
    copyNamed(slice.mergedConfig.pools, wholeContent.mergedConfig.pools, scope.pool);
    return slice;
}

Json::Value toJson(const read_content &query)
{
    Json::Value value(Json::objectValue);
    value["digest"] = query.digest;
    if (!query.scope)
        return value;
    value["scope"]["service"] = query.scope->service;
    value["scope"]["pool"] = query.scope->pool;
    if (!query.heldSliceDigest.empty())
        value["have"] = query.heldSliceDigest;
    return value;
}

read_content readContentFromJson(const Json::Value &value)
{
    read_content query;
    query.digest = stringMember(value, "digest");
    if (!value.isMember("scope"))
        return query;
    const auto &scope = objectMember(value, "scope");
    query.scope = content_scope{stringMember(scope, "service"), stringMember(scope, "pool")};
    query.heldSliceDigest = stringMemberOr(value, "have", "");
    return query;
}

Json::Value answerReadContent(const generation_follower &source, const read_content &query)
{
    Json::Value answer(Json::objectValue);
    const auto text = source.contentTextFor(query.digest);
    if (!text)
        return answer;
    if (!query.scope) {
        answer["content"] = *text;
        return answer;
    }
    const auto slice = contentText(makeSlice(source.content(), *query.scope));
    const auto digest = digestOf(slice);
    answer["slice_digest"] = digest;
    if (query.heldSliceDigest != digest)
        answer["slice"] = slice;
    return answer;
}

content_read contentReadFromJson(std::uint64_t request, const std::optional<Json::Value> &answer)
{
    content_read read{request, false, {}, {}};
    if (!answer)
        return read;
    if ((*answer)["content"].isString()) {
        read.isFound = true;
        read.content = (*answer)["content"].asString();
    } else if ((*answer)["slice_digest"].isString()) {
        read.isFound = true;
        read.sliceDigest = (*answer)["slice_digest"].asString();
        if ((*answer)["slice"].isString())
            read.content = (*answer)["slice"].asString();
    }
    return read;
}

} // namespace zinniabarrow::config
