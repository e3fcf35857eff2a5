#include "node/gateway/GatewayCounters.h"

#include "node/MetricsText.h"

#include <array>
#include <utility>

namespace teaselturn {

std::string GatewayCounters::text(const ListenerCounters& callers, const TransferCounters& transfers) const
{
    const std::array<std::pair<std::string_view, const Counter*>, 18> rows { {
        { "teaselturn_requests_received_total", &this->received },
        { "teaselturn_requests_delivered_total", &this->delivered },
        { "teaselturn_requests_refused_total", &this->refused },
        { "teaselturn_requests_unknown_total", &this->unknown },
        { "teaselturn_requests_rejected_total", &this->rejected },
        { "teaselturn_callers_left_total", &this->callersDisconnected },
        { "teaselturn_attempts_total", &this->attempts },
        { "teaselturn_upstream_connections_total", &this->connectionsOpened },
        { "teaselturn_answers_dropped_total", &this->responsesDropped },
        { "teaselturn_requests_held_back_total", &this->requestsHeldBack },
        { "teaselturn_responses_over_budget_total", &this->responsesOverBudget },
        { "teaselturn_evacuation_changes_total", &this->evacuationChanges },
        { "teaselturn_requests_held_for_warm_up_total", &this->heldForWarmUp },
        { "teaselturn_requests_refused_for_warm_up_total", &this->refusedForWarmUp },
        { "teaselturn_responses_streamed_total", &this->responsesStreamed },
        { "teaselturn_responses_broken_total", &this->responsesBroken },
        { "teaselturn_caller_connections_cut_total", &callers.cut },
        { "teaselturn_transfer_pauses_total", &transfers.pauses },
    } };
    std::string out;
    for (const auto& [name, counter] : rows) {
        writeMetricHead(out, name, "counter", name);
        writeSample(out, name, "", counter->value());
    }
    constexpr std::string_view closedName = "teaselturn_caller_connections_closed_total";
    writeMetricHead(out, closedName, "counter", "Connections of callers that ended, by reason.");
    for (std::size_t i = 0; i < closeReasonNames.size(); ++i) {
        writeSample(out, closedName, writeLabel("reason", closeReasonNames[i]), callers.closed[i].value());
    }
    constexpr std::string_view lateName = "teaselturn_caller_connections_late_input_total";
    writeMetricHead(out, lateName, "counter", "Connections of callers that sent something after the end of their responses, by reason of the close.");
    for (std::size_t i = 0; i < closeReasonNames.size(); ++i) {
        writeSample(out, lateName, writeLabel("reason", closeReasonNames[i]), callers.lateInput[i].value());
    }
    constexpr std::string_view pausedName = "teaselturn_transfers_paused";
    writeMetricHead(out, pausedName, "gauge", "Large bodies that wait for their turn on the link.");
    writeSample(out, pausedName, "", static_cast<std::uint64_t>(transfers.paused.value()));
    constexpr std::string_view latencyName = "teaselturn_request_latency_seconds";
    writeMetricHead(out, latencyName, "summary", "Time from the whole request to the whole answer.");
    for (const auto* quantile : { "0.5", "0.9", "0.99" }) {
        const auto value = this->latency.percentile(std::stod(quantile));
        writeSample(out, latencyName, writeLabel("quantile", quantile), writeSeconds(static_cast<std::uint64_t>(value.count())));
    }
    writeSample(out, "teaselturn_request_latency_seconds_sum", "", writeSeconds(static_cast<std::uint64_t>(this->latency.sum().count())));
    writeSample(out, "teaselturn_request_latency_seconds_count", "", this->latency.count());
    return out;
}

}
