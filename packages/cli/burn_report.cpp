#include "cli/burn_report.h"

#include "policy/burn/burn_window.h"

#include <algorithm>
#include <iomanip>
#include <map>
#include <sstream>

namespace goldcrestline::cli {

using nlohmann::json;
using policy::burn::burnRate;

namespace {

constexpr double plotWidth = 600;
constexpr double plotHeight = 120;

AnswerCounts readCounts(const json &object)
{
    return {object.at("total").get<std::uint64_t>(), object.at("late").get<std::uint64_t>(),
            object.at("thin").get<std::uint64_t>()};
}

void add(AnswerCounts &to, const AnswerCounts &from)
{
    to.total += from.total;
    to.late += from.late;
    to.partial += from.partial;
}

double lateRate(const BurnRow &row, const AnswerCounts &counts)
{
    return burnRate(counts.late, counts.total, row.targetInTime);
}

double partialRate(const BurnRow &row, const AnswerCounts &counts)
{
    return burnRate(counts.partial, counts.total, row.targetCoverage);
}

std::string formatFixed(double value)
{
    std::stringstream text;
    text << std::fixed << std::setprecision(2) << value;
    return text.str();
}

std::string escapeHtml(const std::string &text)
{
    std::string out;
    for (const char c : text) {
        if (c == '<') {
            out += "&lt;";
        } else if (c == '&') {
            out += "&amp;";
        } else {
            out += c;
        }
    }
    return out;
}

// Returns an SVG line through the burn rates of the series. `maxRate`: rate at the top of the plot.
std::string plotLine(const BurnRow &row, const char *colour, double maxRate,
                     double (*rate)(const BurnRow &, const AnswerCounts &))
{
    std::stringstream points;
    const double step =
        plotWidth / static_cast<double>(std::max<std::size_t>(1, row.series.size() - 1));
    for (std::size_t i = 0; i < row.series.size(); ++i) {
        const double y = plotHeight * (1 - std::min(1.0, rate(row, row.series[i]) / maxRate));
        points << formatFixed(static_cast<double>(i) * step) << ',' << formatFixed(y) << ' ';
    }
    return "<polyline fill=\"none\" stroke-width=\"2\" stroke=\"" + std::string(colour)
        + "\" points=\"" + points.str() + "\"/>";
}

std::string plot(const BurnRow &row)
{
    double maxRate = 2;
    for (const auto &it : row.series)
        maxRate = std::max({maxRate, lateRate(row, it), partialRate(row, it)});
    const auto budgetLineY = formatFixed(plotHeight * (1 - 1 / maxRate));
    std::stringstream svg;
    svg << "<svg viewBox=\"-40 -10 660 150\" width=\"660\" height=\"150\">"
        << "<rect width=\"600\" height=\"120\" fill=\"#f6f6f6\"/>"
        << "<line x1=\"0\" x2=\"600\" y1=\"" << budgetLineY << "\" y2=\"" << budgetLineY
        << "\" stroke=\"#888\" stroke-dasharray=\"4\"/>"
        << "<text x=\"-6\" y=\"" << budgetLineY
        << "\" text-anchor=\"end\" font-size=\"11\">1</text>"
        << "<text x=\"-6\" y=\"8\" text-anchor=\"end\" font-size=\"11\">" << formatFixed(maxRate)
        << "</text>"
        << "<text x=\"0\" y=\"136\" font-size=\"11\">5 min ago</text>"
        << "<text x=\"600\" y=\"136\" font-size=\"11\" text-anchor=\"end\">now</text>"
        << plotLine(row, "#c0392b", maxRate, lateRate)
        << plotLine(row, "#2471a3", maxRate, partialRate) << "</svg>";
    return svg.str();
}

} // namespace

std::vector<BurnRow> sumBurn(const std::vector<HostReport> &hosts)
{
    std::map<std::pair<std::string, std::string>, BurnRow> rows;
    for (const auto &host : hosts) {
        if (host.status.is_null())
            continue;
        for (const auto &it : host.status.at("levels")) {
            auto &row =
                rows[{it.at("plan").get<std::string>(), it.at("service").get<std::string>()}];
            row.plan = it.at("plan").get<std::string>();
            row.service = it.at("service").get<std::string>();
            row.targetInTime = it.at("target_in_time").get<double>();
            row.targetCoverage = it.at("target_coverage").get<double>();
            add(row.shortWindow, readCounts(it.at("short")));
            add(row.longWindow, readCounts(it.at("long")));
            const auto &series = it.at("series");
            row.series.resize(std::max(row.series.size(), series.size()));
            for (std::size_t i = 0; i < series.size(); ++i)
                add(row.series[i], readCounts(series[i]));
        }
    }
    std::vector<BurnRow> out;
    out.reserve(rows.size());
    for (auto &it : rows)
        out.push_back(std::move(it.second));
    return out;
}

std::string burnTable(const std::vector<BurnRow> &rows)
{
    constexpr int nameWidth = 18;
    std::stringstream text;
    text << std::left << std::setw(nameWidth) << "plan" << std::setw(nameWidth) << "service"
         << "late 5 min  late 1 h  thin 5 min  thin 1 h  answers 1 h\n";
    for (const auto &it : rows) {
        text << std::setw(nameWidth) << it.plan << std::setw(nameWidth) << it.service
             << std::setw(12) << formatFixed(lateRate(it, it.shortWindow)) << std::setw(10)
             << formatFixed(lateRate(it, it.longWindow)) << std::setw(12)
             << formatFixed(partialRate(it, it.shortWindow)) << std::setw(10)
             << formatFixed(partialRate(it, it.longWindow)) << it.longWindow.total << '\n';
    }
    text << "1.00 uses the error budget up exactly; 2.00 twice as fast\n";
    return text.str();
}

json burnJson(const std::vector<BurnRow> &rows)
{
    json out = json::array();
    for (const auto &it : rows) {
        const auto window = [&](const AnswerCounts &counts) {
            return json{{"total", counts.total},
                        {"late", counts.late},
                        {"thin", counts.partial},
                        {"late_burn", lateRate(it, counts)},
                        {"thin_burn", partialRate(it, counts)}};
        };
        out.push_back({{"plan", it.plan},
                       {"service", it.service},
                       {"target_in_time", it.targetInTime},
                       {"target_coverage", it.targetCoverage},
                       {"short", window(it.shortWindow)},
                       {"long", window(it.longWindow)}});
    }
    return out;
}

std::string burnPage(const std::vector<BurnRow> &rows, std::size_t hosts)
{
    std::stringstream page;
    page << "<!DOCTYPE html><html><head><meta charset=\"utf-8\"><title>Service-level burn</title>"
            "<style>body{font-family:sans-serif;margin:2em;max-width:60em}td,th{padding:.3em 1em;"
            "text-align:right}td:first-child,th:first-child{text-align:left}"
            ".late{color:#c0392b}.thin{color:#2471a3}</style></head><body>"
            "<h1>Service-level burn</h1><p>Sum over "
         << hosts
         << " hosts. 1 uses an error budget up exactly. "
            "<span class=\"late\">Late</span>: not in time, or refused for overload. "
            "<span class=\"thin\">Thin</span>: not every document covered.</p>";
    for (const auto &it : rows) {
        page << "<h2>" << escapeHtml(it.plan) << " on " << escapeHtml(it.service)
             << "</h2><table><tr><th>objective</th><th>target</th><th>burn 5 min</th>"
                "<th>burn 1 h</th><th>bad of answers 1 h</th></tr><tr><td class=\"late\">in time"
                "</td><td>"
             << it.targetInTime << "</td><td>" << formatFixed(lateRate(it, it.shortWindow))
             << "</td><td>" << formatFixed(lateRate(it, it.longWindow)) << "</td><td>"
             << it.longWindow.late << " of " << it.longWindow.total
             << "</td></tr><tr><td class=\"thin\">full coverage</td><td>" << it.targetCoverage
             << "</td><td>" << formatFixed(partialRate(it, it.shortWindow)) << "</td><td>"
             << formatFixed(partialRate(it, it.longWindow)) << "</td><td>" << it.longWindow.partial
             << " of " << it.longWindow.total << "</td></tr></table>" << plot(it);
    }
    page << "</body></html>\n";
    return page.str();
}

} // namespace goldcrestline::cli
