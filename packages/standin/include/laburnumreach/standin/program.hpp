#ifndef LABURNUMREACH_STANDIN_PROGRAM_HPP
#define LABURNUMREACH_STANDIN_PROGRAM_HPP

#include <string>

namespace laburnumreach::standin
{

/// Blocks SIGTERM and SIGINT in this thread and the threads it starts, so that wait_for_end can receive them.
/// Call it before the first thread is started.
void block_end_signals();

/// Prints one line to standard output at once and waits for SIGTERM or SIGINT.
void wait_for_end(const std::string& ready_line);

} // namespace laburnumreach::standin

#endif
