// Real processes for tests: started without a shell, output to files, ended by their process id.
//
// A child is killed when its child_process is destroyed, and by the kernel when the test itself dies.
#pragma once

#include <chrono>
#include <filesystem>
#include <functional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace dandelionstall::testing {

// A directory that is removed at the end of its life.
class temporary_directory
{
public:
    temporary_directory();
    ~temporary_directory();
    temporary_directory(const temporary_directory &) = delete;
    temporary_directory &operator=(const temporary_directory &) = delete;

    std::string write(const std::string &name, const std::string &text) const; // returns the path
    std::string path(const std::string &name) const;

private:
    std::filesystem::path m_path;
};

struct process_usage {
    std::chrono::microseconds processor{0}; // user and system time
    std::size_t residentBytes = 0;
};

class child_process
{
public:
    child_process() = default;
    child_process(const std::string &program, const std::vector<std::string> &arguments, const std::string &outputPath); // throws when it cannot start
    ~child_process();
    child_process(child_process &&other) noexcept;
    child_process &operator=(child_process &&other) noexcept;

    void signal(int number) const;                    // SIGTERM, SIGSTOP, ...
    void kill();                                      // SIGKILL, and waits
    bool awaitExit(std::chrono::milliseconds atMost); // false when it still runs
    bool running();                                   // reaps it when it has ended
    int exitCode() const;                             // after it ended; 128 + number when ended by a signal
    process_usage usage() const;                      // of the running process
    std::string output() const;                       // standard output and errors so far

private:
    pid_t m_id = 0; // 0 when there is none
    int m_exitCode = 0;
    std::string m_outputPath;
};

inline constexpr std::chrono::seconds ReadyCap{20}; // generous bound for things that take well under a second

bool waitUntil(const std::function<bool()> &condition, std::chrono::milliseconds atMost = ReadyCap); // polls; false when it never held
std::string programPath(const std::string &name);                                                    // of the build tree
std::string awaitPort(child_process &process);                                                       // "NNNN" of its line "port=NNNN"; throws

} // namespace dandelionstall::testing
