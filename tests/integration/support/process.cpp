#include "process.h"

#include <fmt/format.h>

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <iterator>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

extern char **environ;

namespace dandelionstall::testing {

namespace {

constexpr std::chrono::milliseconds PollInterval{10};

// Runs the program through setpriv, which makes the kernel kill it when this process ends, and then executes the program.
std::vector<std::string> guardedCommand(const std::string &program, const std::vector<std::string> &arguments)
{
    std::vector<std::string> command{"setpriv", "--pdeathsig", "KILL", program};
    command.insert(command.end(), arguments.begin(), arguments.end());
    return command;
}

pid_t spawn(std::vector<std::string> command, const std::string &outputPath)
{
    std::vector<char *> argv;
    for (std::string &part : command) {
        argv.push_back(part.data());
    }
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, outputPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    pid_t id = 0;
    const int error = posix_spawnp(&id, argv[0], &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        throw std::runtime_error("cannot start the program " + command[3]);
    }
    return id;
}

std::string readWhole(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), {}};
}

} // namespace

temporary_directory::temporary_directory()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "dandelionstall-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("cannot create a temporary directory");
    }
    m_path = pattern;
}

temporary_directory::~temporary_directory()
{
    if (std::getenv("DANDELIONSTALL_KEEP_LOGS") != nullptr) {
        fmt::print(stderr, "logs kept in {}\n", m_path.string());
        return;
    }
    std::error_code ignored;
    std::filesystem::remove_all(m_path, ignored);
}

std::string temporary_directory::write(const std::string &name, const std::string &text) const
{
    std::ofstream(path(name), std::ios::binary) << text;
    return path(name);
}

std::string temporary_directory::path(const std::string &name) const
{
    return (m_path / name).string();
}

child_process::child_process(const std::string &program, const std::vector<std::string> &arguments, const std::string &outputPath)
    : m_id(spawn(guardedCommand(program, arguments), outputPath))
    , m_outputPath(outputPath)
{ }

child_process::~child_process()
{
    kill();
}

child_process::child_process(child_process &&other) noexcept
    : m_id(std::exchange(other.m_id, 0))
    , m_exitCode(other.m_exitCode)
    , m_outputPath(std::move(other.m_outputPath))
{ }

child_process &child_process::operator=(child_process &&other) noexcept
{
    std::swap(m_id, other.m_id);
    std::swap(m_exitCode, other.m_exitCode);
    std::swap(m_outputPath, other.m_outputPath);
    return *this;
}

void child_process::signal(int number) const
{
    if (m_id != 0) {
        ::kill(m_id, number);
    }
}

void child_process::kill()
{
    signal(SIGKILL);
    waitUntil([this] { return !running(); });
}

bool child_process::awaitExit(std::chrono::milliseconds atMost)
{
    return waitUntil([this] { return !running(); }, atMost);
}

bool child_process::running()
{
    int status = 0;
    if (m_id == 0 || waitpid(m_id, &status, WNOHANG) == 0) {
        return m_id != 0;
    }
    m_exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    m_id = 0;
    return false;
}

int child_process::exitCode() const
{
    return m_exitCode;
}

process_usage child_process::usage() const
{
    const std::string stat = readWhole(fmt::format("/proc/{}/stat", m_id));
    std::istringstream fields(stat.substr(std::min(stat.size(), stat.rfind(')') + 2)));
    std::vector<std::string> values{std::istream_iterator<std::string>(fields), {}};
    if (values.size() < 22) {
        return {};
    }
    // utime, stime and rss: fields 14, 15 and 24 of /proc/PID/stat in proc(5), counted from 1; values starts with field 3.
    const auto ticks = std::stoull(values[11]) + std::stoull(values[12]);
    const auto pages = std::stoull(values[21]);
    const auto ticksPerSecond = static_cast<std::uint64_t>(sysconf(_SC_CLK_TCK));
    return {std::chrono::microseconds(ticks * 1'000'000 / ticksPerSecond), pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE))};
}

std::string child_process::output() const
{
    return readWhole(m_outputPath);
}

bool waitUntil(const std::function<bool()> &condition, std::chrono::milliseconds atMost)
{
    const auto end = std::chrono::steady_clock::now() + atMost;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(PollInterval);
    }
    return true;
}

std::string programPath(const std::string &name)
{
    const char *other = std::getenv("DANDELIONSTALL_TEST_BUILD");
    const std::string build = other != nullptr ? other : DANDELIONSTALL_BUILD_DIR;
    return name.starts_with("standin_") ? build + "/tests/standins/" + name : build + "/programs/" + name + "/" + name;
}

std::string awaitPort(child_process &process)
{
    std::string port;
    waitUntil([&] {
        const std::string text = process.output();
        const std::size_t start = text.find("port=");
        const std::size_t end = text.find('\n', start);
        if (start != std::string::npos && end != std::string::npos) {
            port = text.substr(start + 5, end - start - 5);
        }
        return !port.empty() || !process.running();
    });
    if (port.empty()) {
        throw std::runtime_error("the process did not print its port: " + process.output());
    }
    return port;
}

} // namespace dandelionstall::testing
