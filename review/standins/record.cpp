#include "record.h"

#include <cstdlib>
#include <fstream>
#include <iomanip>
#include <mutex>
#include <stdexcept>
#include <thread>

namespace review {

namespace {

std::mutex mutex;
std::ofstream file;
TimePoint start;

} // namespace

void openRecord(const std::string &path)
{
    file.open(path, std::ios::trunc);
    if (!file)
        throw std::runtime_error("cannot write " + path);
    start = Clock::now();
}

void record(const std::string &line)
{
    const auto at = static_cast<double>(nowMs()) / 1000;
    const std::scoped_lock lock(mutex);
    file << std::fixed << std::setprecision(3) << at << ' ' << line << std::endl;
}

std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - start).count();
}

void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

bool withTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace review
