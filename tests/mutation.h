#pragma once

#include <cstddef>
#include <cstdlib>
#include <random>
#include <string>
#include <vector>

// Damaged inputs for parsers: valid ones with random changes, and random bytes.

namespace crocusreach::tests {

// Inputs in all. The long form is run by CROCUSREACH_MUTATIONS=100000.
inline auto inputCount() -> std::size_t
{
    const auto *wanted = std::getenv("CROCUSREACH_MUTATIONS");
    return wanted == nullptr ? 4000 : std::strtoull(wanted, nullptr, 10);
}

using Random = std::mt19937;

inline auto pick(Random &random, std::size_t bound) -> std::size_t
{
    return bound == 0 ? 0 : random() % bound;
}

// Text that is likely to be a boundary of a grammar.
inline auto fragment(Random &random) -> std::string
{
    static const auto fragments = std::vector<std::string>{"\"",
                                                           "{",
                                                           "}",
                                                           "[",
                                                           "]",
                                                           ",",
                                                           ":",
                                                           "\n",
                                                           "\r\n",
                                                           "\\u0000",
                                                           "\xff",
                                                           "\xEF\xBB\xBF",
                                                           "-1",
                                                           "0",
                                                           "1e999",
                                                           "18446744073709551616",
                                                           "null",
                                                           "true",
                                                           "//",
                                                           "/*",
                                                           "65536",
                                                           "out",
                                                           std::string(1, '\0'),
                                                           std::string(70, '['),
                                                           std::string(300, 'a')};
    return fragments[pick(random, fragments.size())];
}

inline auto mutate(std::string text, Random &random) -> std::string
{
    const auto count = 1 + pick(random, 4);
    for (std::size_t step = 0; step < count; ++step) {
        const auto at = pick(random, text.size() + 1);
        switch (pick(random, 5)) {
        case 0:
            text.erase(at, pick(random, 20));
            break;
        case 1:
            text.insert(at, fragment(random));
            break;
        case 2:
            text.insert(at, text.substr(pick(random, text.size()), pick(random, 40)));
            break;
        case 3:
            if (at < text.size())
                text[at] = static_cast<char>(random());
            break;
        default:
            text.resize(at);
        }
    }
    return text;
}

inline auto randomBytes(Random &random) -> std::string
{
    auto text = std::string(pick(random, 200), ' ');
    for (auto &c : text)
        c = static_cast<char>(random());
    return text;
}

inline auto nextInput(const std::string &base, Random &random) -> std::string
{
    return pick(random, 10) == 0 ? randomBytes(random) : mutate(base, random);
}

} // namespace crocusreach::tests
