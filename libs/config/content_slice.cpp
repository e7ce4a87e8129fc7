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

read_content readContentFromJson(const Json::Value &value)
{
    read_content question;
    question.digest = stringMember(value, "digest");
    if (!value.isMember("scope"))
        return question;
    const auto &scope = objectMember(value, "scope");
    question.scope = content_scope{stringMember(scope, "service"), stringMember(scope, "pool")};
    question.have = stringMemberOr(value, "have", "");
    return question;
}

Json::Value contentAnswer(const generation_follower &source, const read_content &question)
{
    Json::Value answer(Json::objectValue);
    const auto text = source.textFor(question.digest);
    if (!text)
        return answer;
    if (!question.scope) {
        answer["content"] = *text;
        return answer;
    }
    const auto slice = contentText(sliceOf(source.content(), *question.scope));
    const auto digest = digestOf(slice);
    answer["slice_digest"] = digest;
    if (question.have != digest)
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
