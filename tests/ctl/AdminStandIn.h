#pragma once

#include <atomic>
#include <string>

namespace teaselturn {

/// A stand-in for the administration API, on a port given by the system: every GET and POST gets the prepared response.
/// The fields may be changed between requests only.
class AdminStandIn {
public:
    AdminStandIn();
    ~AdminStandIn();
    AdminStandIn(const AdminStandIn&) = delete;
    AdminStandIn& operator=(const AdminStandIn&) = delete;

    /// @return ADDRESS:PORT of the stand-in.
    std::string address() const;

    /// Waits until a request has arrived.
    void waitForRequest() const { this->requestCount.wait(0); }

    int status { 200 };
    std::string body;
    /// Target and body of the last request.
    std::string lastTarget;
    std::string lastBody;
    std::atomic<int> requestCount {};

private:
    struct State;
    State* state;
};

}
