#include <catch2/catch.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

namespace {

namespace fs = std::filesystem;

auto readFile(const fs::path &path) -> std::string
{
    auto file = std::ifstream(path, std::ios::binary);
    auto text = std::ostringstream();
    text << file.rdbuf();
    return text.str();
}

// Names that only the platform's protocol has. Words that are also common ones, such as zone, are
// not among them.
constexpr auto names = std::to_array<std::string_view>({"Crocusreach-",
                                                        "listen_addrs",
                                                        "traffic_split",
                                                        "warmup_left_ms",
                                                        "warmup_per_s",
                                                        "min_shard_ratio",
                                                        "path_prefix",
                                                        "target_latency_ms",
                                                        "max_conns",
                                                        "top_k",
                                                        "current_rev",
                                                        "stale_ok",
                                                        "retry_budget_ratio",
                                                        "budget_window_s",
                                                        "drain_ms",
                                                        "grace_s",
                                                        "CROCUSREACH_SETTINGS",
                                                        "/api/objects",
                                                        "/api/ready",
                                                        "node_name"});

} // namespace

SCENARIO("the platform's names appear in its folder only")
{
    const auto root = fs::path(CROCUSREACH_SOURCE_FOLDER);
    for (const auto *folder :
         {"core", "base", "front", "runtime", "formats", "wire", "instance", "ctl", "soak"}) {
        for (const auto &entry : fs::recursive_directory_iterator(root / folder)) {
            if (entry.path().extension() != ".cpp" && entry.path().extension() != ".h")
                continue;
            const auto text = readFile(entry.path());
            for (const auto name : names) {
                INFO(entry.path() << " holds " << name);
                CHECK(text.find(name) == std::string::npos);
            }
        }
    }
}
