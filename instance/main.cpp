#include <gflags/gflags.h>

auto main(int argc, char **argv) -> int
{
    gflags::SetVersionString(CROCUSREACH_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return 0;
}
