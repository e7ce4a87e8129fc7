#include "soak/load.h"

namespace zinniabarrow::soak {

struct soak_load::impl
{ };

soak_load::soak_load(std::vector<std::string>, unsigned, timeline &, load_options) { }
soak_load::~soak_load() = default;
void soak_load::start() { }
void soak_load::stop() { }
void soak_load::cancelSome(bool) { }
std::size_t soak_load::readAllJobs(time_point)
{
    return 0;
}
std::size_t soak_load::acceptedCount() const
{
    return 0;
}

} // namespace zinniabarrow::soak
