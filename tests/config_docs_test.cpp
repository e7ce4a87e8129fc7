// Checks that the documentation agrees with the program: the tables of settings, which are
// generated from the schemas, and the limits of the folder. With ZB_WRITE_DOCS=1 the test writes
// the tables again instead of comparing them.
#include <cstdlib>
#include <fstream>

#include "config/folder.h"
#include "config/schema.h"
#include "config/settings.h"
#include "config/validate.h"
#include "config_files.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::config;
using zinniabarrow::tests::fileText;
using zinniabarrow::tests::section;

namespace {

void checkTable(const std::string &path, const std::string &name, const Json::Value &definition)
{
    section(path + " " + name, [&] {
        auto page = fileText(path);
        const auto mark = "<!-- table: " + name + " -->\n";
        const auto from = page.find(mark);
        const auto to = page.find("<!-- end -->", from);
        require(from != std::string::npos && to != std::string::npos);
        const auto start = from + mark.size();
        const auto table = '\n' + schemaTable(definition) + '\n';
        if (std::getenv("ZB_WRITE_DOCS"))
            std::ofstream(path) << page.replace(start, to - start, table);
        else
            check(page.substr(start, to - start) == table);
    });
}

} // namespace

Test(config_docs, tables)
{
    checkTable("docs/SETTINGS.md", "entry", entrySettingsSchema());
    checkTable("docs/SETTINGS.md", "agent", agentSettingsSchema());
    checkTable("docs/CONFIGURATION.md", "folder", folderSchema().definition());
}

Test(config_docs, limits)
{
    const auto page = fileText("docs/CONFIGURATION.md");
    check(folder_limits{}.maxFileBytes == 262144 && page.find("262,144") != std::string::npos);
    check(folder_limits{}.maxBytes == 8388608 && page.find("8,388,608") != std::string::npos);
    check(folder_limits{}.maxFiles == 4096 && page.find("4,096") != std::string::npos);
}
