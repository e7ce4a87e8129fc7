// Runs a case of the review that is a script: `cases NAME RECORD`. Exit code 1: the rule was
// broken, 0: it held, 2: the case couldn't run. With TROUBLE=0 in the environment the disruption is
// left out.
#include "cases.h"

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    try {
        if (argc == 3)
            review::runCase(argv[1], argv[2]);
    } catch (const std::exception &problem) {
        std::cerr << problem.what() << "\n";
    }
    return 2;
}
