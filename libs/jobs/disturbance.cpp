#include "jobs/disturbance.h"

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
    if (about.means.empty()) {
        about.means.push_back(m_settings.priorBase);
        about.covariance.push_back({m_settings.baseDeviation * m_settings.baseDeviation});
    }
    return about;
}

std::size_t disturbance_model::indexOf(belief &about, const std::string &filling)
{
    const auto known = placeOf(about.names, filling);
    if (known != NotFound || about.names.size() >= m_settings.mostImages)
        return known;
    about.names.push_back(filling);
    about.means.push_back(m_settings.priorPress);
    for (auto &line : about.covariance)
        line.push_back(0);
    about.covariance.emplace_back(about.means.size(), 0.0);
    about.covariance.back().back() = m_settings.priorDeviation * m_settings.priorDeviation;
    return about.names.size();
}

void disturbance_model::learn(const disturbance_sample &sample)
{
    if (sample.tailMs <= 0 || sample.targetMs <= 0)
        return; // it has not served yet
    if (!m_beliefs.contains(sample.image) && m_beliefs.size() >= m_settings.mostImages)
        return;
    auto &about = beliefOf(sample.image);
    std::vector<std::pair<std::size_t, double>> present;
    for (const auto &[image, amount] : sample.fills) {
        const auto index = indexOf(about, image);
        if (index != NotFound)
            present.emplace_back(index, amount);
    }
    std::vector<double> amounts(about.means.size(), 0.0);
    amounts[0] = 1;
    for (const auto &[index, amount] : present)
        amounts[index] = amount;
    noteFloor(about, sample);
    correct(about, amounts, loadOf(static_cast<double>(sample.tailMs), about.floorMs));
}

void disturbance_model::noteFloor(belief &about, const disturbance_sample &sample)
{
    constexpr double BelowLowest = 0.9; // the lowest tail seen was not without any load
    const double floor = BelowLowest * static_cast<double>(sample.tailMs);
    if (about.floorMs <= 0 || floor < about.floorMs)
        about.floorMs = floor;
    about.targetMs = static_cast<double>(sample.targetMs);
}

void disturbance_model::correct(belief &about, const std::vector<double> &amounts,
                                double load) const
{
    const auto size = about.means.size();
    std::vector<double> spread(size, 0.0); // covariance x amounts
    double expected = 0;
    for (std::size_t line = 0; line < size; ++line) {
        expected += about.means[line] * amounts[line];
        for (std::size_t column = 0; column < size; ++column)
            spread[line] += about.covariance[line][column] * amounts[column];
    }
    // The tail only says that the load is at least so high, which was known.
    if (load >= HighestLoad && expected >= load)
        return;
    double variance = m_settings.noise * m_settings.noise;
    for (std::size_t line = 0; line < size; ++line)
        variance += amounts[line] * spread[line];
    for (std::size_t line = 0; line < size; ++line) {
        const double gain = spread[line] / variance;
        // Neighbours never speed a run up.
        about.means[line] = std::max(0.0, about.means[line] + gain * (load - expected));
    }
    for (std::size_t line = 0; line < size; ++line) {
        for (std::size_t column = 0; column < size; ++column)
            about.covariance[line][column] -= spread[line] * spread[column] / variance;
    }
    fade(about);
}

// Presses change: old samples lose weight. A variance only ever grows here, up to its prior: cut
// down alone, without the rest of its line, it would leave a matrix that is no covariance, and the
// next samples would drive the beliefs off without bound.
void disturbance_model::fade(belief &about) const
{
    for (std::size_t index = 0; index < about.means.size(); ++index) {
        const double deviation = index == 0 ? m_settings.baseDeviation : m_settings.priorDeviation;
        const double widest = deviation * deviation;
        auto &own = about.covariance[index][index];
        own = std::max(own, std::min(widest, own / m_settings.forget));
    }
}

double disturbance_model::press(const std::string &serving, const std::string &filling) const
{
    const auto about = m_beliefs.find(serving);
    if (about == m_beliefs.end())
        return m_settings.priorPress;
    const auto index = placeOf(about->second.names, filling);
    return index == NotFound ? m_settings.priorPress : about->second.means[index];
}

double disturbance_model::base(const std::string &serving) const
{
    const auto about = m_beliefs.find(serving);
    return about == m_beliefs.end() ? m_settings.priorBase : about->second.means.front();
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
            presses[serving].presses[about.names[index]] = about.means[index + 1];
    }
    return presses;
}

} // namespace zinniabarrow::jobs
