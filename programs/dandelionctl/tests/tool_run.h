// Helpers that run the built dandelionctl as an operator does, and that create files for it to read.
#pragma once

#include <criterion/criterion.h>

#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>
#include <string_view>

namespace dandelionctl::testing {

struct tool_result {
    int exitCode = -1;
    std::string text; // standard output and standard error
};

// before: shell commands that precede the tool, for example limits of its resources
inline tool_result runTool(const std::string &arguments, const std::string &before = {})
{
    tool_result result;
    FILE *pipe = popen((before + DANDELIONCTL + " " + arguments + " 2>&1").c_str(), "r");
    cr_assert(pipe != nullptr);
    std::array<char, 4096> chunk{};
    for (std::size_t count = 0; (count = fread(chunk.data(), 1, chunk.size(), pipe)) > 0;) {
        result.text.append(chunk.data(), count);
    }
    const int status = pclose(pipe);
    result.exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return result;
}

inline bool contains(const tool_result &result, std::string_view text)
{
    return result.text.find(text) != std::string::npos;
}

// A file that is removed at the end of the test.
class scratch_file
{
public:
    explicit scratch_file(std::string_view text)
    {
        const int file = mkstemp(m_path.data());
        cr_assert(file >= 0);
        close(file);
        std::ofstream(m_path) << text;
    }

    ~scratch_file()
    {
        std::remove(m_path.c_str());
    }

    const std::string &path() const
    {
        return m_path;
    }

private:
    std::string m_path = "/tmp/dandelionctl-XXXXXX";
};

} // namespace dandelionctl::testing
