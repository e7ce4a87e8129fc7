// Text of learned run times in the store: weights as whole hundredths, so that no text stands for
// a weight that isn't finite.
#include <cmath>

#include "base/errors.h"
#include "base/json.h"
#include "base/large_json.h"
#include "jobs/run_times.h"

namespace zinniabarrow::jobs {

namespace {

constexpr int TextVersion = 1;
constexpr std::size_t MaxTextBytes = 128 * 1024; // 64 kinds with all buckets in use take less
constexpr std::size_t MaxNameBytes = 256;        // of a queue or an image
constexpr double WeightUnit = 0.01;

[[noreturn]] void refuse(const std::string &why)
{
    throw error(error_kind::BadRequest, "run times: " + why);
}

Json::Int64 toUnits(double weight)
{
    return std::llround(weight / WeightUnit);
}

// Pairs of a bucket's number and its weight.
Json::Value toJson(const ratio_histogram &histogram)
{
    Json::Value pairs(Json::arrayValue);
    for (std::size_t number = 0; number < ratio_histogram::BucketCount; ++number) {
        const auto weight = toUnits(histogram.bucket(number));
        if (weight == 0)
            continue;
        pairs.append(Json::UInt64(number));
        pairs.append(weight);
    }
    return pairs;
}

std::int64_t countFrom(const large_json::value &element)
{
    const auto count = large_json::asNumber(element);
    if (count < 0)
        refuse("negative number");
    return count;
}

double weightFrom(const large_json::value &element)
{
    const double weight = WeightUnit * static_cast<double>(countFrom(element));
    constexpr double Rounding = 1;
    if (weight > ratio_histogram::MaxWeight + Rounding)
        refuse("weight out of range");
    return weight;
}

ratio_histogram histogramFrom(const large_json::value &profile, const char *name)
{
    const auto &pairs = large_json::array(profile, name);
    if (pairs.Size() % 2 != 0 || pairs.Size() > 2 * ratio_histogram::BucketCount)
        refuse("histogram of unknown form");
    ratio_histogram histogram;
    for (rapidjson::SizeType index = 0; index < pairs.Size(); index += 2) {
        const auto bucket = static_cast<std::size_t>(countFrom(pairs[index]));
        if (!histogram.setBucket(bucket, weightFrom(pairs[index + 1])))
            refuse("bucket out of range");
    }
    return histogram;
}

// Whole units of the moments: they are small numbers, which must stay exact enough for a slope.
constexpr double MomentUnit = 1e-4;

Json::Value toJson(const log_regression &calibration)
{
    Json::Value units(Json::arrayValue);
    const auto &sums = calibration.sums();
    for (const double sum : {sums.weight, sums.meanX, sums.meanY, sums.xx, sums.xy})
        units.append(Json::Int64(std::llround(sum / MomentUnit)));
    return units;
}

double momentFrom(const large_json::value &element, double least, double most)
{
    const double sum = MomentUnit * static_cast<double>(large_json::asNumber(element));
    if (sum < least || sum > most)
        refuse("calibration out of range");
    return sum;
}

log_regression calibrationFrom(const large_json::value &profile)
{
    const auto &units = large_json::array(profile, "c");
    constexpr rapidjson::SizeType MomentCount = 5;
    if (units.Size() != MomentCount)
        refuse("calibration of unknown form");
    constexpr double MaxLog = 40;      // of a time in ms; 2^53 ms is less
    constexpr double MaxSum = 300'000; // ratio_histogram::MaxWeight times a square of MaxLog
    return log_regression({momentFrom(units[0], 0, ratio_histogram::MaxWeight + 1),
                           momentFrom(units[1], 0, MaxLog), momentFrom(units[2], 0, MaxLog),
                           momentFrom(units[3], 0, MaxSum), momentFrom(units[4], -MaxSum, MaxSum)});
}

std::string nameFrom(const large_json::value &profile, const char *member)
{
    auto name = large_json::text(profile, member);
    if (name.size() > MaxNameBytes)
        refuse("name too long");
    return name;
}

const large_json::value &required(const large_json::value &object, const char *name)
{
    const auto *found = large_json::find(object, name);
    if (found == nullptr)
        refuse(std::string("no member ") + name);
    return *found;
}

run_time_profile profileFrom(const large_json::value &value)
{
    run_time_profile profile;
    profile.calibration = calibrationFrom(value);
    profile.toExpected = histogramFrom(value, "e");
    profile.toStep = histogramFrom(value, "s");
    profile.failures = histogramFrom(value, "f");
    profile.done = weightFrom(required(value, "dn"));
    profile.failed = weightFrom(required(value, "fl"));
    profile.lastUse = countFrom(required(value, "u"));
    constexpr std::int64_t MaxLastUse = std::int64_t{1} << 53; // far from an overflow
    if (profile.lastUse > MaxLastUse)
        refuse("sequence number out of range");
    return profile;
}

} // namespace

std::string toText(const run_time_profiles &profiles)
{
    Json::Value kinds(Json::arrayValue);
    for (const auto &[kind, profile] : profiles) {
        if (kind.queue.size() > MaxNameBytes || kind.image.size() > MaxNameBytes)
            continue;
        Json::Value value(Json::objectValue);
        value["q"] = kind.queue;
        value["i"] = kind.image;
        value["c"] = toJson(profile.calibration);
        value["e"] = toJson(profile.toExpected);
        value["s"] = toJson(profile.toStep);
        value["f"] = toJson(profile.failures);
        value["dn"] = toUnits(profile.done);
        value["fl"] = toUnits(profile.failed);
        value["u"] = Json::Int64(profile.lastUse);
        kinds.append(std::move(value));
    }
    Json::Value value(Json::objectValue);
    value["v"] = TextVersion;
    value["kinds"] = std::move(kinds);
    return compactJson(value);
}

run_time_profiles profilesFrom(const std::string &text)
{
    if (text.size() > MaxTextBytes)
        refuse("text too long");
    const auto value = large_json::parseObject(text);
    if (large_json::numberOr0(value, "v") != TextVersion)
        refuse("unknown version");
    const auto &kinds = large_json::array(value, "kinds");
    if (kinds.Size() > run_times::MaxKinds)
        refuse("too many kinds");
    run_time_profiles profiles;
    for (const auto &profile : kinds.GetArray()) {
        const run_kind kind{nameFrom(profile, "q"), nameFrom(profile, "i")};
        if (!profiles.emplace(kind, profileFrom(profile)).second)
            refuse("kind named twice");
    }
    return profiles;
}

} // namespace zinniabarrow::jobs
