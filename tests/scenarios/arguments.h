#pragma once

#include "scenario.h"

#include <lua5.4/lua.hpp>

#include <set>
#include <string>

/// Reads the arguments of steps from the Lua stack. On a wrong argument all functions throw std::invalid_argument; its
/// message begins with the label they are given, such as the name of the step.
namespace monsoonward::arguments
{

/// @return argument @p index of the step as a string
std::string text(lua_State *lua, int index, const char *label);
/// @return argument @p index of the step as a duration
Duration duration(lua_State *lua, int index, const char *label);
/// @return argument @p index as a non-negative integer
unsigned count(lua_State *lua, int index, const char *label);
/// @return argument @p index as a number in [0, 1]
double share(lua_State *lua, int index, const char *label);

/// @brief The fields of the table that is argument 1 of a step. Each read() leaves @p value unchanged when the field is
/// absent; finish() throws when the table has fields that no read() asked for.
class Fields
{
public:
    Fields(lua_State *lua, std::string step);
    void read(const char *name, unsigned &value);
    void read(const char *name, std::uint64_t &value);
    void read(const char *name, std::string &value);
    void read(const char *name, bool &value);
    void read(const char *name, double &value);
    void read(const char *name, Duration &value);
    void finish();

private:
    /// Pushes the field's value onto the Lua stack. @return false, with nothing pushed, when the field is absent
    bool pushField(const char *name);
    std::string fieldLabel(const char *name) const;

    lua_State *m_lua;
    std::string m_step;
    std::set<std::string> m_readNames;
};

} // namespace monsoonward::arguments
