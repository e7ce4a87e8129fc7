#include "config/content_slice.h"

#include "base/json_member.h"
#include "config/generation_follower.h"

namespace zinniabarrow::config {

namespace {

template <typename Items>
void copyOne(Items &to, const Items &from, const std::string &name)
{
    const auto found = from.find(name);
    if (found != from.end())
        to.insert(*found);
}

} // namespace

generation_content sliceOf(const generation_content &whole, const content_scope &scope)
{
    generation_content slice;
    copyOne(slice.whole.services, whole.whole.services, scope.service);
    copyOne(slice.whole.pools, whole.whole.pools, scope.pool);
    return slice;
}

Json::Value toJson(const read_content &question)
{
    Json::Value value(Json::objectValue);
    value["digest"] = question.digest;
    if (!question.scope)
        return value;
    value["scope"]["service"] = question.scope->service;
    value["scope"]["pool"] = question.scope->pool;
    if (!question.have.empty())
        value["have"] = question.have;
    return value;
}

Json::Value contentAnswer(const generation_follower &source, const Json::Value &question)
{
    Json::Value answer(Json::objectValue);
    const auto text = source.textFor(stringMember(question, "digest"));
    if (!text)
        return answer;
    if (!question.isMember("scope")) {
        answer["content"] = *text;
        return answer;
    }
    const auto &scope = objectMember(question, "scope");
    const auto slice = contentText(sliceOf(
            source.content(), {stringMember(scope, "service"), stringMember(scope, "pool")}));
    const auto digest = digestOf(slice);
    answer["slice_digest"] = digest;
    if (stringMemberOr(question, "have", "") != digest)
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
