#include "laburnumreach/standin/program.hpp"

#include <csignal>
#include <iostream>
#include <pthread.h>

namespace laburnumreach::standin
{

namespace
{

sigset_t end_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

void block_end_signals()
{
    const sigset_t signals = end_signals();
    ::pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void wait_for_end(const std::string& ready_line)
{
    std::cout << ready_line << std::endl;
    const sigset_t signals = end_signals();
    int received = 0;
    sigwait(&signals, &received);
}

} // namespace laburnumreach::standin
