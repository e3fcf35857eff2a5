#include "node/SignalWait.h"

namespace teaselturn {

SignalWait::SignalWait()
{
    sigemptyset(&this->signals);
    sigaddset(&this->signals, SIGTERM);
    sigaddset(&this->signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &this->signals, nullptr);
    // Writing to a connection that a peer or caller has closed must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
}

int SignalWait::next() const
{
    int signal = 0;
    while (sigwait(&this->signals, &signal) != 0) { }
    return signal;
}

}
