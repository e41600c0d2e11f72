#include "core/quantile_window.h"
#include "core/result_code.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <set>
#include <sstream>

using namespace goldcrestline::core;

TEST_CASE("docs/RESULT-CODES.md lists the result codes with their properties", "[codes]")
{
    std::ifstream file(std::string(GOLDCRESTLINE_SOURCE_FOLDER) + "/docs/RESULT-CODES.md");
    REQUIRE(file);
    std::stringstream page;
    page << file.rdbuf();
    std::size_t rows = 0;
    std::string line;
    std::istringstream lines(page.str());
    while (std::getline(lines, line))
        rows += line.size() > 3 && line[0] == '|' && std::isdigit(line[2]) != 0 ? 1 : 0;
    CHECK(rows == resultCodeTable().size());
    std::set<int> numbers;
    for (const auto &it : resultCodeTable()) {
        const int number = static_cast<int>(it.code);
        CHECK(numbers.insert(number).second);
        const auto row = "| " + std::to_string(number) + " | " + std::string(it.name) + " | "
            + std::string(nameOf(it.resultClass)) + " | " + std::to_string(it.httpStatus) + " | "
            + std::string(it.text) + " |";
        INFO(row);
        CHECK(page.str().find(row) != std::string::npos);
    }
}

TEST_CASE("a quantile covers only recent samples", "[quantile]")
{
    using namespace std::chrono_literals;
    auto now = TimePoint{} + 1h;
    QuantileWindow window(0.95, 5s);
    CHECK(window.value(30, now) == 30);
    for (int i = 1; i <= 1000; ++i)
        window.add(i % 100, now += 1ms);
    CHECK(window.value(30, now) == Approx(95).margin(5));
    for (int i = 1; i <= 1000; ++i)
        window.add(1, now += 10ms);
    CHECK(window.value(30, now) == Approx(1).margin(0.5));
    CHECK(window.value(30, now + 1min) == 30);
}
