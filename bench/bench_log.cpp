#include "base/log.h"
#include "core/forwardmessages.h"
#include "front/frontlog.h"

#include <benchmark/benchmark.h>

#include <ostream>
#include <streambuf>

// Processor time of one log line, of the caller and of the writing thread together.

namespace crocusreach::bench {

namespace {

// Takes all that is written to it.
struct NullBuffer : std::streambuf
{
    auto overflow(int character) -> int override { return character; }
    auto xsputn(const char * /*text*/, std::streamsize size) -> std::streamsize override
    {
        return size;
    }
};

auto makeSummary() -> forward::CallSummary
{
    auto summary = forward::CallSummary();
    summary.requestId = "9d1e5f8cd1ae1ef5";
    summary.end = forward::CallEnd::Partial;
    summary.route = "r-d6qh7mj";
    summary.version = 6;
    summary.parts = 36;
    summary.missing = 1;
    summary.sends = 38;
    summary.lastLeaf = "i-a5b9842713";
    return summary;
}

// The rate at which lines are left out makes most of them cheaper; both kinds are measured.
auto logRequestEnd(benchmark::State &state) -> void
{
    auto buffer = NullBuffer();
    auto stream = std::ostream(&buffer);
    startLog(Severity::Info, stream);
    const auto summary = makeSummary();
    for (auto _ : state)
        logEvent(LogEvent::RequestDegraded, fieldsOf(summary));
    stopLog();
}

auto formatRequestEnd(benchmark::State &state) -> void
{
    const auto summary = makeSummary();
    for (auto _ : state)
        benchmark::DoNotOptimize(formatLogLine(LogEvent::RequestDegraded, fieldsOf(summary)));
}

} // namespace

BENCHMARK(logRequestEnd)->MeasureProcessCPUTime()->UseRealTime();
BENCHMARK(formatRequestEnd);

} // namespace crocusreach::bench
