#include "jobs/interference_estimator.h"

#include <algorithm>

namespace zinniabarrow::jobs {

namespace {

constexpr double HighestLoad = 0.98; // beyond, a tail says only that the queue grows
constexpr std::size_t NotFound = static_cast<std::size_t>(-1);

std::size_t placeOf(const std::vector<std::string> &names, const std::string &name)
{
    const auto found = std::find(names.begin(), names.end(), name);
    return found == names.end() ? NotFound : static_cast<std::size_t>(found - names.begin()) + 1;
}

// In the same direction.
bool goesAsFar(double expected, double change)
{
    return change >= 0 ? expected >= change : expected <= change;
}

} // namespace

double loadOf(double tailMs, double floorMs)
{
    if (tailMs <= floorMs)
        return 0;
    return std::min(HighestLoad, 1 - floorMs / tailMs);
}

disturbance_model::disturbance_model(const disturbance_settings &settings)
    : m_settings(settings)
{ }

disturbance_model::belief &disturbance_model::beliefOf(const std::string &serving)
{
    auto &about = m_beliefs[serving];
    if (about.loads.size() == 0) {
        about.loads.add(m_settings.priorBase, m_settings.baseDeviation);
        about.base = m_settings.priorBase;
    }
    return about;
}

std::size_t disturbance_model::indexOf(belief &about, const std::string &filling)
{
    const auto known = placeOf(about.names, filling);
    if (known != NotFound || about.names.size() >= m_settings.mostImages)
        return known;
    about.names.push_back(filling);
    return about.loads.add(m_settings.priorPress, m_settings.priorDeviation);
}

// By index of the belief; that of the base is 0.
std::vector<double> disturbance_model::amountsOf(belief &about,
                                                 const std::map<std::string, double> &fills)
{
    std::vector<std::pair<std::size_t, double>> present;
    for (const auto &[image, amount] : fills) {
        const auto index = indexOf(about, image);
        if (index != NotFound)
            present.emplace_back(index, amount);
    }
    std::vector<double> amounts(about.loads.size(), 0.0);
    for (const auto &[index, amount] : present)
        amounts[index] = amount;
    return amounts;
}

void disturbance_model::learn(const disturbance_sample &sample)
{
    if (sample.tailMs <= 0 || sample.targetMs <= 0)
        return; // it has not served yet
    if (!m_beliefs.contains(sample.image) && m_beliefs.size() >= m_settings.mostImages)
        return;
    auto &about = beliefOf(sample.image);
    noteFloor(about, sample);
    if (sample.change)
        learnChange(about, sample);
    else
        learnLevel(about, sample);
}

void disturbance_model::learnLevel(belief &about, const disturbance_sample &sample)
{
    auto amounts = amountsOf(about, sample.fills);
    amounts[0] = 1;
    const double load = loadOf(static_cast<double>(sample.tailMs), about.floorMs);
    correct(about, amounts, load, m_settings.noise);
    about.base = about.loads.mean(0);
}

void disturbance_model::learnChange(belief &about, const disturbance_sample &sample)
{
    const auto amounts = amountsOf(about, sample.change->fills);
    const double change = sample.change->inverseFall * about.floorMs;
    if (!sample.change->atLeast || !goesAsFar(about.loads.expected(amounts), change))
        correct(about, amounts, change, m_settings.changeNoise);
    // What the presses don't explain of the level is the image's own.
    double own = loadOf(static_cast<double>(sample.tailMs), about.floorMs);
    for (const auto &[filling, cores] : sample.fills)
        own -= press(sample.image, filling) * cores;
    constexpr double Weight = 0.02; // of the newest: about the last minute on one worker counts
    about.base += Weight * (std::max(0.0, own) - about.base);
}

void disturbance_model::noteFloor(belief &about, const disturbance_sample &sample)
{
    constexpr double BelowLowest = 0.9; // the lowest tail seen was not without any load
    const double floor = BelowLowest * static_cast<double>(sample.tailMs);
    if (about.floorMs <= 0 || floor < about.floorMs)
        about.floorMs = floor;
    about.targetMs = static_cast<double>(sample.targetMs);
}

void disturbance_model::correct(belief &about, const std::vector<double> &amounts, double load,
                                double noise) const
{
    // The tail only says that the load is at least so high, which was known.
    if (load >= HighestLoad && about.loads.expected(amounts) >= load)
        return;
    about.loads.correct(amounts, load, noise);
    about.loads.boundBelow(0);           // neighbours never speed a run up
    about.loads.fade(m_settings.forget); // presses change
}

double disturbance_model::press(const std::string &serving, const std::string &filling) const
{
    const auto about = m_beliefs.find(serving);
    if (about == m_beliefs.end())
        return m_settings.priorPress;
    const auto index = placeOf(about->second.names, filling);
    return index == NotFound ? m_settings.priorPress : about->second.loads.mean(index);
}

double disturbance_model::base(const std::string &serving) const
{
    const auto about = m_beliefs.find(serving);
    return about == m_beliefs.end() ? m_settings.priorBase : about->second.base;
}

double disturbance_model::limit(const std::string &serving) const
{
    constexpr double Unmeasured = 0.8; // a target is usually some five times the floor
    const auto about = m_beliefs.find(serving);
    if (about == m_beliefs.end() || about->second.targetMs <= 0)
        return Unmeasured;
    return loadOf(about->second.targetMs, about->second.floorMs);
}

press_table disturbance_model::table() const
{
    press_table presses;
    for (const auto &[serving, about] : m_beliefs) {
        presses[serving].floorMs = about.floorMs;
        for (std::size_t index = 0; index < about.names.size(); ++index)
            presses[serving].presses[about.names[index]] = about.loads.mean(index + 1);
    }
    return presses;
}

} // namespace zinniabarrow::jobs
