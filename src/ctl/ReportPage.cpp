#include "adapters/settings/BundleReader.h"
#include "ctl/BurnReport.h"

#include <algorithm>
#include <cmath>

namespace teaselturn {

namespace {

    constexpr std::string_view style = R"(
:root{--page:#f5f6f8;--card:#fff;--text:#1c2430;--soft:#5d6878;--line:#dde2e9;--good:#1f7a56;--warn:#a86500;--bad:#b3261e}
@media (prefers-color-scheme:dark){:root{--page:#14181e;--card:#1d232b;--text:#e6eaf0;--soft:#9aa6b6;--line:#333c48;--good:#4cc38a;--warn:#f0b04a;--bad:#ff7b72}}
*{box-sizing:border-box}
body{margin:0;background:var(--page);color:var(--text);font:15px/1.5 system-ui,"Segoe UI",Roboto,sans-serif}
main{max-width:1080px;margin:0 auto;padding:32px 20px 48px}
h1{font-size:26px;margin:0}
h2{font-size:19px;margin:0 0 12px}
p{margin:4px 0;color:var(--soft)}
.card{background:var(--card);border:1px solid var(--line);border-radius:12px;padding:18px 20px;margin-top:20px;overflow-x:auto}
.missing{border-left:5px solid var(--bad)}
table{border-collapse:collapse;width:100%}
th{font-weight:600;font-size:13px;color:var(--soft);text-align:left;padding:4px 14px 8px 0;white-space:nowrap}
td{border-top:1px solid var(--line);padding:10px 14px 10px 0;vertical-align:middle;white-space:nowrap}
th.n,td.n{text-align:right;font-variant-numeric:tabular-nums}
.good{color:var(--good)}.warn{color:var(--warn)}.bad{color:var(--bad)}
.warn,.bad{font-weight:600}
.soft{color:var(--soft)}
svg{display:block}
svg text{font-size:10px;fill:var(--soft)}
svg .axis{stroke:var(--line)}
svg .one{stroke:var(--soft);stroke-dasharray:3 2}
svg .track{fill:var(--line)}
svg rect.good{fill:var(--good)}svg rect.warn{fill:var(--warn)}svg rect.bad{fill:var(--bad)}
footer{margin-top:20px}
)";

    /// Burn rate from which a value is marked as bad. It uses up the budget of 3 days within about 7 hours.
    constexpr double fastBurnRate = 10;

    /// Dimensions of the burn rate plot in SVG units. Its axis is logarithmic, from 0.01 to 100, with 1 in the middle.
    constexpr double plotLeft = 44;
    constexpr double plotWidth = 200;
    constexpr double plotDecades = 2;
    constexpr double rowHeight = 14;
    constexpr double barHeight = 8;

    std::string escapeHtml(std::string_view text)
    {
        std::string escaped;
        for (const auto c : text) {
            switch (c) {
            case '&':
                escaped += "&amp;";
                break;
            case '<':
                escaped += "&lt;";
                break;
            case '>':
                escaped += "&gt;";
                break;
            case '"':
                escaped += "&quot;";
                break;
            default:
                escaped += c;
            }
        }
        return escaped;
    }

    std::string_view cssClassOf(double rate)
    {
        return rate <= 1 ? "good" : rate < fastBurnRate ? "warn"
                                                        : "bad";
    }

    std::string svgAttribute(std::string_view name, double value)
    {
        return " " + std::string { name } + "=\"" + formatDecimal(value, 1) + "\"";
    }

    std::string svgText(double x, double y, std::string_view anchor, std::string_view text)
    {
        return "<text" + svgAttribute("x", x) + svgAttribute("y", y) + " text-anchor=\"" + std::string { anchor } + "\">" + escapeHtml(text) + "</text>";
    }

    std::string svgLine(double x, double bottom, std::string_view cssClass)
    {
        return "<line class=\"" + std::string { cssClass } + "\"" + svgAttribute("x1", x) + svgAttribute("x2", x) + svgAttribute("y1", 0) + svgAttribute("y2", bottom) + "/>";
    }

    double plotX(double rate)
    {
        const auto exponent = rate > 0 ? std::log10(rate) : -plotDecades;
        return plotLeft + (std::clamp(exponent, -plotDecades, plotDecades) + plotDecades) / (2 * plotDecades) * plotWidth;
    }

    /// Draws a bar for each window. A bar starts at burn rate 1 and extends to the left if the rate is within the
    /// budget, otherwise to the right.
    std::string burnRatePlot(const ServiceCounts& counts)
    {
        const auto bottom = rowHeight * static_cast<double>(counts.windows.size());
        std::string svg = "<svg role=\"img\" aria-label=\"burn rates\"" + svgAttribute("width", plotLeft + plotWidth + 16) + svgAttribute("height", bottom + 14) + ">";
        for (const auto& [rate, label] : { std::pair { 0.01, "0.01" }, { 0.1, "0.1" }, { 1.0, "1" }, { 10.0, "10" }, { 100.0, "100" } }) {
            svg += svgLine(plotX(rate), bottom, rate == 1 ? "one" : "axis") + svgText(plotX(rate), bottom + 11, "middle", label);
        }
        for (std::size_t i = 0; i < counts.windows.size(); ++i) {
            const auto top = rowHeight * static_cast<double>(i);
            svg += svgText(plotLeft - 6, top + 10, "end", burnWindowNames[i]);
            const auto rate = burnRateOf(counts, i);
            if (!rate) {
                svg += svgText(plotX(1) + 5, top + 10, "start", "no requests");
                continue;
            }
            const auto x = plotX(*rate);
            svg += "<rect class=\"" + std::string { cssClassOf(*rate) } + "\" rx=\"2\"" + svgAttribute("x", std::min(x, plotX(1))) + svgAttribute("y", top + (rowHeight - barHeight) / 2)
                + svgAttribute("width", std::max(1.0, std::abs(x - plotX(1)))) + svgAttribute("height", barHeight) + "/>";
        }
        return svg + "</svg>";
    }

    std::string budgetCell(const ServiceCounts& counts)
    {
        constexpr double width = 110;
        const auto left = budgetLeft(counts);
        const auto cssClass = left > 0.25 ? "good" : left > 0 ? "warn"
                                                              : "bad";
        const auto caption = left < 0 ? "overspent by " + formatDecimal(-left * 100, 1) + " %" : formatDecimal(left * 100, 1) + " %";
        return "<td><span class=\"" + std::string { cssClass } + "\">" + caption + "</span><svg aria-hidden=\"true\" height=\"6\"" + svgAttribute("width", width) + "><rect class=\"track\" rx=\"3\" height=\"6\""
            + svgAttribute("width", width) + "/><rect class=\"" + cssClass + "\" rx=\"3\" height=\"6\"" + svgAttribute("width", std::clamp(left, 0.0, 1.0) * width) + "/></svg></td>";
    }

    std::string rateCell(const ServiceCounts& counts, std::size_t window)
    {
        const auto rate = burnRateOf(counts, window);
        if (!rate) {
            return "<td class=\"n soft\">-</td>";
        }
        const auto& requests = counts.windows[window];
        return "<td class=\"n " + std::string { cssClassOf(*rate) } + "\" title=\"" + std::to_string(requests.bad) + " bad of " + std::to_string(requests.good + requests.bad) + " requests\">" + formatDecimal(*rate, 2) + "</td>";
    }

    std::string serviceRow(const ServiceCounts& counts)
    {
        auto row = "<tr><td>" + escapeHtml(counts.zone) + "</td><td class=\"n\">" + formatObjective(counts.objectivePerMillion) + "</td>" + budgetCell(counts);
        for (std::size_t i = 0; i < counts.windows.size(); ++i) {
            row += rateCell(counts, i);
        }
        return row + "<td>" + burnRatePlot(counts) + "</td></tr>\n";
    }

    std::string tableHead()
    {
        std::string head = "<table><thead><tr><th>Zone</th><th class=\"n\">Objective</th><th>Error budget left, 3 days</th>";
        for (const auto name : burnWindowNames) {
            head += "<th class=\"n\">" + std::string { name } + "</th>";
        }
        return head + "<th>Burn rate by window</th></tr></thead><tbody>\n";
    }

    std::string missingCard(const BurnReport& report)
    {
        if (report.missing.empty()) {
            return {};
        }
        std::string card = "<section class=\"card missing\"><h2>Not in this report</h2>";
        for (const auto& missing : report.missing) {
            card += "<p>" + escapeHtml(missing.address) + ": " + escapeHtml(missing.reason) + "</p>";
        }
        return card + "</section>\n";
    }

    std::string serviceCards(const BurnReport& report)
    {
        std::string cards;
        for (std::size_t i = 0; i < report.services.size(); ++i) {
            const auto& counts = report.services[i];
            if (i == 0 || report.services[i - 1].service != counts.service) {
                cards += "<section class=\"card\"><h2>" + escapeHtml(counts.service) + "</h2>\n" + tableHead();
            }
            cards += serviceRow(counts);
            if (i + 1 == report.services.size() || report.services[i + 1].service != counts.service) {
                cards += "</tbody></table></section>\n";
            }
        }
        return cards.empty() ? "<section class=\"card\"><p>No requests have been counted.</p></section>\n" : cards;
    }

}

std::string renderReportPage(const BurnReport& report)
{
    std::string page = "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><meta name=\"viewport\" content=\"width=device-width,initial-scale=1\">\n<title>Burn rates</title><style>";
    page.append(style).append("</style></head><body><main>\n<h1>Burn rates</h1>\n");
    page += "<p>" + escapeHtml(report.generatedAt) + ", counts of " + std::to_string(report.nodes.size()) + (report.nodes.size() == 1 ? " VM" : " VMs") + "</p>\n";
    page += missingCard(report) + serviceCards(report);
    page += "<footer><p>The burn rate is the share of bad requests divided by the share that the objective allows. At 1 the error budget is used up exactly over the window. "
            "In the plots, bars to the left of the dashed line are within the budget and bars to the right beyond it.</p></footer>\n</main></body></html>\n";
    return page;
}

}
