#include "ctl/AdminStandIn.h"

#include <httplib.h>
#include <thread>

namespace teaselturn {

struct AdminStandIn::State {
    httplib::Server server;
    int port {};
    std::thread thread;
};

AdminStandIn::AdminStandIn()
    : state(new State)
{
    const auto respond = [this](const httplib::Request& request, httplib::Response& response) {
        this->lastTarget = request.target;
        this->lastBody = request.body;
        response.status = this->status;
        response.set_content(this->body, "application/json");
        ++this->requestCount;
        this->requestCount.notify_all();
    };
    this->state->server.Get(".*", respond);
    this->state->server.Post(".*", respond);
    this->state->port = this->state->server.bind_to_any_port("127.0.0.1");
    this->state->thread = std::thread { [this] { this->state->server.listen_after_bind(); } };
}

AdminStandIn::~AdminStandIn()
{
    // stop() has no effect until the server runs. A request returns only after the server has started to run.
    httplib::Client { "127.0.0.1", this->state->port }.Get("/");
    this->state->server.stop();
    this->state->thread.join();
    delete this->state;
}

std::string AdminStandIn::address() const
{
    return "127.0.0.1:" + std::to_string(this->state->port);
}

}
