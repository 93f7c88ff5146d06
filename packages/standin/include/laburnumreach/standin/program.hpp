#ifndef LABURNUMREACH_STANDIN_PROGRAM_HPP
#define LABURNUMREACH_STANDIN_PROGRAM_HPP

#include "laburnumreach/core/error.hpp"

#include <CLI/CLI.hpp>
#include <functional>
#include <iostream>
#include <string>

namespace laburnumreach::standin
{

struct controlled_server_options;

/// Adds the options of a stand-in's listeners.
void add_server_options(CLI::App& app, controlled_server_options& options);

/// Blocks SIGTERM and SIGINT in this thread and the threads it starts, so that wait_for_end can receive them.
/// Call it before the first thread is started.
void block_end_signals();

/// Prints one line to standard output at once and waits for SIGTERM or SIGINT.
void wait_for_end(const std::string& ready_line);

/// Runs a stand-in until SIGTERM or SIGINT.
/// @param finish runs before the stand-in stops
/// @returns the exit status of the program
template <typename Standin, typename Options>
int run_until_end(const Options& options, const std::function<void(Standin&)>& finish)
{
    block_end_signals();
    Standin standin{options};
    if (const core::result<void> started = standin.start(); !started)
    {
        std::cerr << started.error().message << '\n';
        return 1;
    }
    wait_for_end(standin.ready_line());
    finish(standin);
    standin.stop();
    return 0;
}

} // namespace laburnumreach::standin

#endif
