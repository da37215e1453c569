#pragma once

#include <fstream>
#include <sstream>
#include <string>

// The text of a file in the examples folder.
inline auto readExample(const std::string &name) -> std::string
{
    auto file = std::ifstream(EXAMPLES "/" + name);
    auto text = std::stringstream();
    text << file.rdbuf();
    return text.str();
}
