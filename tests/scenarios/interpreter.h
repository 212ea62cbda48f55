#pragma once

#include <lua5.4/lua.hpp>

#include <functional>
#include <memory>
#include <string>

namespace monsoonward
{

/// @brief A Lua interpreter that knows only its own steps, arithmetic, tables and loops: no files, no processes, no
/// clock. Scripts are bounded in instructions and memory.
class Interpreter
{
public:
    /// Reads arguments from the stack, pushes results. @return their number
    using Step = std::function<int(lua_State *)>;

    Interpreter();

    /// Makes @p step a global function. What it throws ends the script with file and line.
    void addStep(const std::string &name, Step step);
    /// @return the error as "file:line: message", empty when the script ended well
    std::string run(const std::string &name, const std::string &text);

private:
    void *allocate(void *block, std::size_t oldSize, std::size_t newSize);

    std::size_t m_allocated = 0; // bytes
    std::unique_ptr<lua_State, void (*)(lua_State *)> m_lua;
};

} // namespace monsoonward
