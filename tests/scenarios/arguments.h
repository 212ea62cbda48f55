#pragma once

#include "scenario.h"

#include <lua5.4/lua.hpp>

#include <set>
#include <string>

/// Reads the arguments of steps from Lua's stack. All throw std::invalid_argument that names the step and the field.
namespace monsoonward::arguments
{

/// @return argument @p index of the step as text
std::string text(lua_State *lua, int index, const char *what);
/// @return argument @p index of the step as a length of time
Duration duration(lua_State *lua, int index, const char *what);
/// @return argument @p index as a whole number of at least 0
unsigned count(lua_State *lua, int index, const char *what);
/// @return argument @p index as a number in [0, 1]
double share(lua_State *lua, int index, const char *what);

/// @brief A table of named fields, argument 1 of a step. Unknown fields are errors, told by finish().
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
    bool push(const char *name);
    std::string place(const char *name) const;

    lua_State *m_lua;
    std::string m_step;
    std::set<std::string> m_known;
};

} // namespace monsoonward::arguments
