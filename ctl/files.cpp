#include "files.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace crocusreach::ctl {

auto readFile(const std::string &path) -> Result<std::string>
{
    auto text = std::ostringstream();
    if (path == "-") {
        text << std::cin.rdbuf();
        return text.str();
    }
    auto file = std::ifstream(path, std::ios::binary);
    text << file.rdbuf();
    // Inserting no character fails the stream of an empty file, which is readable all the same.
    if (!file.is_open() || file.bad())
        return Error{Step::Settings, path, "the file can't be read"};
    return text.str();
}

} // namespace crocusreach::ctl
