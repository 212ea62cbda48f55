#include "interpreter.h"

#include <cstdlib>
#include <new>

namespace monsoonward
{

namespace
{

constexpr std::size_t maxMemoryBytes = std::size_t {32} * 1024 * 1024;
constexpr int maxInstructions = 20'000'000;

/// Base functions that give no access outside the script. Those that catch errors, such as pcall, are left out: a
/// script must not hide the error of a step.
constexpr const char *allowedGlobals[] = {"ipairs", "pairs", "next", "select", "tonumber", "tostring", "type"};

void failOnInstructionLimit(lua_State *lua, lua_Debug * /*at*/)
{
    luaL_where(lua, 0);
    lua_pushstring(lua, "the scenario takes too many steps");
    lua_concat(lua, 2);
    lua_error(lua);
}

void keepAllowedGlobals(lua_State *lua)
{
    luaL_requiref(lua, LUA_GNAME, luaopen_base, 0);
    lua_newtable(lua);
    for (const auto *it : allowedGlobals) {
        lua_getfield(lua, -2, it);
        lua_setfield(lua, -2, it);
    }
    lua_rawseti(lua, LUA_REGISTRYINDEX, LUA_RIDX_GLOBALS);
    lua_pop(lua, 1);
}

/// Runs the step in the closure's upvalue; a C++ exception becomes a Lua error.
int callStep(lua_State *lua)
{
    {
        const auto &step = *static_cast<Interpreter::Step *>(lua_touserdata(lua, lua_upvalueindex(1)));
        try {
            return step(lua);
        } catch (const std::exception &error) {
            luaL_where(lua, 1);
            lua_pushstring(lua, error.what());
        }
    }
    lua_concat(lua, 2);
    return lua_error(lua);
}

int destroyStep(lua_State *lua)
{
    static_cast<Interpreter::Step *>(lua_touserdata(lua, 1))->~function();
    return 0;
}

} // namespace

Interpreter::Interpreter()
    : m_lua(lua_newstate(
                [](void *self, void *block, std::size_t oldSize, std::size_t newSize) {
                    return static_cast<Interpreter *>(self)->allocate(block, oldSize, newSize);
                },
                this),
            lua_close)
{
    if (!m_lua) {
        throw std::bad_alloc();
    }
    keepAllowedGlobals(m_lua.get());
}

void *Interpreter::allocate(void *block, std::size_t oldSize, std::size_t newSize)
{
    const auto freed = block == nullptr ? 0 : oldSize;
    if (newSize == 0) {
        m_allocated -= freed;
        std::free(block);
        return nullptr;
    }
    if (m_allocated - freed + newSize > maxMemoryBytes) {
        return nullptr;
    }
    auto *resized = std::realloc(block, newSize);
    if (resized != nullptr) {
        m_allocated += newSize - freed;
    }
    return resized;
}

void Interpreter::addStep(const std::string &name, Step step)
{
    auto *lua = m_lua.get();
    new (lua_newuserdatauv(lua, sizeof(Step), 0)) Step(std::move(step));
    lua_newtable(lua);
    lua_pushcfunction(lua, destroyStep);
    lua_setfield(lua, -2, "__gc");
    lua_setmetatable(lua, -2);
    lua_pushcclosure(lua, callStep, 1);
    lua_setglobal(lua, name.c_str());
}

std::string Interpreter::run(const std::string &name, const std::string &text)
{
    auto *lua = m_lua.get();
    lua_sethook(lua, failOnInstructionLimit, LUA_MASKCOUNT, maxInstructions);
    const auto chunk = "@" + name;
    // "t" accepts source text only: Lua does not verify precompiled chunks.
    if (luaL_loadbufferx(lua, text.data(), text.size(), chunk.c_str(), "t") == LUA_OK
        && lua_pcall(lua, 0, 0, 0) == LUA_OK) {
        return {};
    }
    const char *message = lua_tostring(lua, -1);
    return message == nullptr ? name + ":0: unknown error" : message;
}

} // namespace monsoonward
