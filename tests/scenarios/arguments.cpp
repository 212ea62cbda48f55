#include "arguments.h"

#include <monsoonward/ini/ini.h>

#include <limits>
#include <stdexcept>

namespace monsoonward::arguments
{

namespace
{

[[noreturn]] void fail(const std::string &message)
{
    throw std::invalid_argument(message);
}

std::uint64_t wholeNumber(lua_State *lua, int index, std::uint64_t most, const std::string &what)
{
    int isWhole = 0;
    const auto n = lua_tointegerx(lua, index, &isWhole);
    if (lua_type(lua, index) != LUA_TNUMBER || isWhole == 0 || n < 0 || static_cast<std::uint64_t>(n) > most) {
        fail(what + " must be a whole number from 0 to " + std::to_string(most));
    }
    return static_cast<std::uint64_t>(n);
}

double shareAt(lua_State *lua, int index, const std::string &what)
{
    const double n = lua_tonumber(lua, index);
    if (lua_type(lua, index) != LUA_TNUMBER || !(n >= 0 && n <= 1)) {
        fail(what + " must be a number from 0 to 1");
    }
    return n;
}

std::string textAt(lua_State *lua, int index, const std::string &what)
{
    if (lua_type(lua, index) != LUA_TSTRING) {
        fail(what + " must be a text");
    }
    std::size_t length = 0;
    const char *bytes = lua_tolstring(lua, index, &length);
    return {bytes, length};
}

Duration durationAt(lua_State *lua, int index, const std::string &what)
{
    const auto length = parseDuration(textAt(lua, index, what));
    if (!length) {
        fail(what + " must be a length of time: " + length.error().message);
    }
    return length.value();
}

} // namespace

std::string text(lua_State *lua, int index, const char *what)
{
    return textAt(lua, index, what);
}

Duration duration(lua_State *lua, int index, const char *what)
{
    return durationAt(lua, index, what);
}

unsigned count(lua_State *lua, int index, const char *what)
{
    return static_cast<unsigned>(wholeNumber(lua, index, std::numeric_limits<unsigned>::max(), what));
}

double share(lua_State *lua, int index, const char *what)
{
    return shareAt(lua, index, what);
}

Fields::Fields(lua_State *lua, std::string step)
    : m_lua(lua)
    , m_step(std::move(step))
{
    if (lua_type(lua, 1) != LUA_TTABLE) {
        fail(m_step + " takes named fields: " + m_step + " { ... }");
    }
}

std::string Fields::place(const char *name) const
{
    return m_step + ": " + name;
}

bool Fields::push(const char *name)
{
    m_known.insert(name);
    lua_getfield(m_lua, 1, name);
    if (lua_isnil(m_lua, -1)) {
        lua_pop(m_lua, 1);
        return false;
    }
    return true;
}

void Fields::read(const char *name, unsigned &value)
{
    if (push(name)) {
        value = count(m_lua, -1, place(name).c_str());
        lua_pop(m_lua, 1);
    }
}

void Fields::read(const char *name, std::uint64_t &value)
{
    if (push(name)) {
        value = wholeNumber(m_lua, -1, std::numeric_limits<std::int64_t>::max(), place(name));
        lua_pop(m_lua, 1);
    }
}

void Fields::read(const char *name, std::string &value)
{
    if (push(name)) {
        value = textAt(m_lua, -1, place(name));
        lua_pop(m_lua, 1);
    }
}

void Fields::read(const char *name, bool &value)
{
    if (push(name)) {
        if (!lua_isboolean(m_lua, -1)) {
            fail(place(name) + " must be true or false");
        }
        value = lua_toboolean(m_lua, -1) != 0;
        lua_pop(m_lua, 1);
    }
}

void Fields::read(const char *name, double &value)
{
    if (push(name)) {
        value = shareAt(m_lua, -1, place(name));
        lua_pop(m_lua, 1);
    }
}

void Fields::read(const char *name, Duration &value)
{
    if (push(name)) {
        value = durationAt(m_lua, -1, place(name));
        lua_pop(m_lua, 1);
    }
}

void Fields::finish()
{
    lua_pushnil(m_lua);
    while (lua_next(m_lua, 1) != 0) {
        lua_pop(m_lua, 1);
        if (lua_type(m_lua, -1) != LUA_TSTRING) {
            fail(m_step + " takes named fields only");
        }
        const std::string name = lua_tostring(m_lua, -1);
        if (m_known.count(name) == 0) {
            fail(m_step + " has no field \"" + name + "\"");
        }
    }
}

} // namespace monsoonward::arguments
