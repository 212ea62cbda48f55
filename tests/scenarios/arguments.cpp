#include "arguments.h"

#include <monsoonward/ini/ini.h>

#include <limits>
#include <stdexcept>

namespace monsoonward::arguments
{

namespace
{

[[noreturn]] void throwInvalid(const std::string &message)
{
    throw std::invalid_argument(message);
}

std::uint64_t wholeNumber(lua_State *lua, int index, std::uint64_t max, const std::string &label)
{
    int isInteger = 0;
    const auto n = lua_tointegerx(lua, index, &isInteger);
    if (lua_type(lua, index) != LUA_TNUMBER || isInteger == 0 || n < 0 || static_cast<std::uint64_t>(n) > max) {
        throwInvalid(label + " must be a whole number from 0 to " + std::to_string(max));
    }
    return static_cast<std::uint64_t>(n);
}

double shareAt(lua_State *lua, int index, const std::string &label)
{
    const double n = lua_tonumber(lua, index);
    if (lua_type(lua, index) != LUA_TNUMBER || !(n >= 0 && n <= 1)) {
        throwInvalid(label + " must be a number from 0 to 1");
    }
    return n;
}

std::string textAt(lua_State *lua, int index, const std::string &label)
{
    if (lua_type(lua, index) != LUA_TSTRING) {
        throwInvalid(label + " must be a text");
    }
    std::size_t length = 0;
    const char *bytes = lua_tolstring(lua, index, &length);
    return {bytes, length};
}

Duration durationAt(lua_State *lua, int index, const std::string &label)
{
    const auto length = parseDuration(textAt(lua, index, label));
    if (!length) {
        throwInvalid(label + " must be a length of time: " + length.error().message);
    }
    return length.value();
}

} // namespace

std::string text(lua_State *lua, int index, const char *label)
{
    return textAt(lua, index, label);
}

Duration duration(lua_State *lua, int index, const char *label)
{
    return durationAt(lua, index, label);
}

unsigned count(lua_State *lua, int index, const char *label)
{
    return static_cast<unsigned>(wholeNumber(lua, index, std::numeric_limits<unsigned>::max(), label));
}

double share(lua_State *lua, int index, const char *label)
{
    return shareAt(lua, index, label);
}

Fields::Fields(lua_State *lua, std::string step)
    : m_lua(lua)
    , m_step(std::move(step))
{
    if (lua_type(lua, 1) != LUA_TTABLE) {
        throwInvalid(m_step + " takes named fields: " + m_step + " { ... }");
    }
}

std::string Fields::fieldLabel(const char *name) const
{
    return m_step + ": " + name;
}

bool Fields::pushField(const char *name)
{
    m_readNames.insert(name);
    lua_getfield(m_lua, 1, name);
    if (lua_isnil(m_lua, -1)) {
        lua_pop(m_lua, 1);
        return false;
    }
    return true;
}

void Fields::read(const char *name, unsigned &value)
{
    if (pushField(name)) {
        value = count(m_lua, -1, fieldLabel(name).c_str());
        lua_pop(m_lua, 1);
    }
}

void Fields::read(const char *name, std::uint64_t &value)
{
    if (pushField(name)) {
        value = wholeNumber(m_lua, -1, std::numeric_limits<std::int64_t>::max(), fieldLabel(name));
        lua_pop(m_lua, 1);
    }
}

void Fields::read(const char *name, std::string &value)
{
    if (pushField(name)) {
        value = textAt(m_lua, -1, fieldLabel(name));
        lua_pop(m_lua, 1);
    }
}

void Fields::read(const char *name, bool &value)
{
    if (pushField(name)) {
        if (!lua_isboolean(m_lua, -1)) {
            throwInvalid(fieldLabel(name) + " must be true or false");
        }
        value = lua_toboolean(m_lua, -1) != 0;
        lua_pop(m_lua, 1);
    }
}

void Fields::read(const char *name, double &value)
{
    if (pushField(name)) {
        value = shareAt(m_lua, -1, fieldLabel(name));
        lua_pop(m_lua, 1);
    }
}

void Fields::read(const char *name, Duration &value)
{
    if (pushField(name)) {
        value = durationAt(m_lua, -1, fieldLabel(name));
        lua_pop(m_lua, 1);
    }
}

void Fields::finish()
{
    lua_pushnil(m_lua);
    while (lua_next(m_lua, 1) != 0) {
        lua_pop(m_lua, 1);
        if (lua_type(m_lua, -1) != LUA_TSTRING) {
            throwInvalid(m_step + " takes named fields only");
        }
        const std::string name = lua_tostring(m_lua, -1);
        if (m_readNames.count(name) == 0) {
            throwInvalid(m_step + " has no field \"" + name + "\"");
        }
    }
}

} // namespace monsoonward::arguments
