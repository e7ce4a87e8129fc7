// Runs a case of the review that is a script: `cases NAME RECORD`. Exit code 1: the rule was
// broken, 0: it held, 2: the case couldn't run. With TROUBLE=0 in the environment the disruption is
// left out.
#include "cases.h"

int main(int argc, char **argv)
{
    if (argc < 3)
        return 2;
    std::signal(SIGPIPE, SIG_IGN);
    int result = 2;
    try {
        result = review::runCase(argv[1], argv[2]);
    } catch (const std::exception &problem) {
        std::cerr << problem.what() << "\n";
    }
    std::cout.flush();
    std::_Exit(result);
}
