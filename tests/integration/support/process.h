// Real processes for tests. They are started without a shell, write their output to files and are signalled by process id.
//
// A child is killed when its child_process is destroyed, and by the kernel when the test process ends.
#pragma once

#include <chrono>
#include <filesystem>
#include <functional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace dandelionstall::testing {

// A directory that its destructor removes, unless DANDELIONSTALL_KEEP_LOGS is set in the environment.
class temporary_directory
{
public:
    temporary_directory();
    ~temporary_directory();
    temporary_directory(const temporary_directory &) = delete;
    temporary_directory &operator=(const temporary_directory &) = delete;

    std::string write(const std::string &name, const std::string &text) const; // returns the path of the file written
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
    child_process(const std::string &program,
                  const std::vector<std::string> &arguments,
                  const std::string &outputPath); // throws when the program cannot be started
    ~child_process();
    child_process(child_process &&other) noexcept;
    child_process &operator=(child_process &&other) noexcept;

    void signal(int number) const;                    // SIGTERM, SIGSTOP, ...
    void kill();                                      // sends SIGKILL and waits for the end
    bool awaitExit(std::chrono::milliseconds atMost); // false when it still runs after that time
    bool running();                                   // reaps the process when it has ended
    int exitCode() const;                             // valid after the end; 128 + signal number when a signal ended it
    process_usage usage() const;                      // resource usage of the running process
    std::string output() const;                       // standard output and errors so far

private:
    pid_t m_id = 0; // 0 when no process runs
    int m_exitCode = 0;
    std::string m_outputPath;
};

inline constexpr std::chrono::seconds ReadyCap{20}; // upper bound for steps that normally take well under a second

bool waitUntil(const std::function<bool()> &condition, std::chrono::milliseconds atMost = ReadyCap); // polls; false when the condition was never true
std::string programPath(const std::string &name); // path of a program in the build tree; DANDELIONSTALL_TEST_BUILD in the environment names another build tree
std::string awaitPort(child_process &process);    // waits for the output line "port=NNNN", returns "NNNN"; throws when it is missing

} // namespace dandelionstall::testing
