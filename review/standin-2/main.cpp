// review-2 CASE FOLDER: plays a case of review/ and writes FOLDER/record.txt. Exits with 1 if the
// rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 in the environment leaves
// the disruption out. Started in the repository's root.
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <map>
#include <string>

#include "cases.h"
#include "deployment.h"

using namespace review;

int main(int argumentCount, char **arguments)
{
    constexpr int CannotRun = 2;
    const std::map<std::string, bool (*)(record &, bool)> cases{
            {"reborn-runner", playRebornRunner},
            {"suspended-machine", playSuspendedMachine},
            {"crash-loop", playCrashLoop},
            {"late-pause", playLatePause},
    };
    const auto found = argumentCount == 3 ? cases.find(arguments[1]) : cases.end();
    if (found == cases.end()) {
        std::fprintf(stderr, "usage: review-2 CASE FOLDER\n");
        return CannotRun;
    }
    record log(std::string(arguments[2]) + "/record.txt");
    const char *trouble = std::getenv("TROUBLE");
    const bool hasTrouble = trouble == nullptr || std::string(trouble) != "0";
    int result = CannotRun;
    try {
        result = found->second(log, hasTrouble) ? 0 : 1;
        log.write(result == 0 ? "the rule held" : "the rule was broken");
    } catch (const cannot_run &problem) {
        log.write("cannot run: " + problem.reason);
    } catch (const std::exception &problem) {
        log.write(std::string("cannot run: ") + problem.what());
    }
    endDeployment();
    std::_Exit(result); // the stand-ins' threads serve until the end
}
