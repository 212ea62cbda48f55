#include "entrytable.h"
#include "targettable.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <fstream>
#include <set>

using namespace monsoonward;

namespace
{

/// @return the rows of all tables with four columns in docs/HANDOVER.md
std::set<std::string> documentedRows()
{
    std::ifstream in(MONSOONWARD_SOURCE_DIR "/docs/HANDOVER.md");
    std::set<std::string> rows;
    std::string line;
    while (std::getline(in, line)) {
        if (std::count(line.begin(), line.end(), '|') == 5 && line.find("---") == std::string::npos) {
            rows.insert(line);
        }
    }
    rows.erase("| state | event | action | next state |");
    return rows;
}

template<class Rule>
std::string formatRow(const Rule &rule)
{
    return "| " + textOf(rule.state) + " | " + textOf(rule.event) + " | " + textOf(rule.action) + " | "
        + textOf(rule.next) + " |";
}

/// Checks that @p documented has each rule of @p table, and removes it there.
template<class Rule>
void checkTable(const std::vector<Rule> &table, std::set<std::string> &documented)
{
    for (const auto &it : table) {
        CHECK_MESSAGE(documented.erase(formatRow(it)) == 1,
                      formatRow(it) << " is a duplicate or is missing in docs/HANDOVER.md");
    }
}

} // namespace

TEST_CASE("the tables in docs/HANDOVER.md have exactly the rules of entryTable() and targetTable()")
{
    auto documented = documentedRows();
    checkTable(entryTable(), documented);
    checkTable(targetTable(), documented);
    for (const auto &it : documented) {
        FAIL_CHECK("only in docs/HANDOVER.md: " << it);
    }
}

TEST_CASE("requests are handed over only from state Waiting and dispatched only from state Open")
{
    for (const auto &it : entryTable()) {
        CHECK((it.action == EntryAction::HandOver) == (it.next == EntryState::HandedOver && it.state != it.next));
        CHECK((it.action != EntryAction::HandOver || it.state == EntryState::Waiting));
    }
    for (const auto &it : targetTable()) {
        CHECK((it.action != TargetAction::Dispatch || it.state == TargetState::Open));
        CHECK((it.next != TargetState::Open));
    }
}
