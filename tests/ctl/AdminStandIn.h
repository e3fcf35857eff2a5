#pragma once

#include <atomic>
#include <string>

namespace teaselturn {

/// Stand-in for the administration API that listens on a port chosen by the operating system. It responds to every GET
/// and POST with `status` and `body`. The public fields may be changed only between requests.
class AdminStandIn {
public:
    AdminStandIn();
    ~AdminStandIn();
    AdminStandIn(const AdminStandIn&) = delete;
    AdminStandIn& operator=(const AdminStandIn&) = delete;

    /// Returns the address of the stand-in as ADDRESS:PORT.
    std::string address() const;

    /// Blocks until the first request has been received.
    void waitForRequest() const { this->requestCount.wait(0); }

    int status { 200 };
    std::string body;
    /// Target (path and query) and body of the last request.
    std::string lastTarget;
    std::string lastBody;
    std::atomic<int> requestCount {};

private:
    struct State;
    State* state;
};

}
