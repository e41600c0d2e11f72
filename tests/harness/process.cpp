#include "process.h"

#include <arpa/inet.h>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace harness {

namespace {

constexpr std::chrono::milliseconds pollInterval{5};

// Temporary directory of this process, removed at exit.
struct ScratchRoot
{
    std::string path;
    int lastSubfolder = 0;
    ScratchRoot()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "goldcrestline-XXXXXX");
        path = mkdtemp(pattern.data());
    }
    ~ScratchRoot()
    {
        std::error_code ec;
        std::filesystem::remove_all(path, ec);
    }
};

ScratchRoot &scratchRoot()
{
    static ScratchRoot it;
    return it;
}

} // namespace

Process::Process(const std::vector<std::string> &arguments)
{
    m_outputPath = scratchFolder() + "/output";
    std::vector<char *> argv;
    for (const auto &it : arguments)
        argv.push_back(const_cast<char *>(it.c_str()));
    argv.push_back(nullptr);
    m_pid = fork();
    if (m_pid < 0)
        throw std::runtime_error("fork failed");
    if (m_pid > 0)
        return;
    // The kernel kills the child when the test process dies, so that a killed test leaves no
    // processes running.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int fd = open(m_outputPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(fd, 1);
    dup2(fd, 2);
    execv(argv[0], argv.data());
    _exit(127);
}

Process::~Process()
{
    if (m_pid <= 0)
        return;
    kill(m_pid, SIGCONT);
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
}

Process::Process(Process &&other) noexcept
    : m_pid(std::exchange(other.m_pid, -1)), m_exitCode(other.m_exitCode),
      m_outputPath(std::move(other.m_outputPath))
{ }

Process &Process::operator=(Process &&other) noexcept
{
    std::swap(m_pid, other.m_pid);
    std::swap(m_exitCode, other.m_exitCode);
    std::swap(m_outputPath, other.m_outputPath);
    return *this;
}

std::string Process::output() const
{
    return readFile(m_outputPath);
}

std::string Process::waitForLine(const std::string &prefix) const
{
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (std::chrono::steady_clock::now() < deadline) {
        std::ifstream file(m_outputPath);
        std::string line;
        while (std::getline(file, line)) {
            const auto at = line.find(prefix);
            if (at != std::string::npos && !file.eof())
                return line.substr(at + prefix.size());
        }
        int status = 0;
        if (waitpid(m_pid, &status, WNOHANG | WNOWAIT) == m_pid)
            break;
        std::this_thread::sleep_for(pollInterval);
    }
    throw std::runtime_error("no line with '" + prefix + "' in the process output: " + output());
}

void Process::signal(int number) const
{
    if (m_pid > 0)
        kill(m_pid, number);
}

bool Process::running()
{
    if (m_pid <= 0)
        return false;
    int status = 0;
    if (waitpid(m_pid, &status, WNOHANG) != m_pid)
        return true;
    m_exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    m_pid = -1;
    return false;
}

int Process::wait(double seconds)
{
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::duration<double>(seconds);
    while (running()) {
        if (std::chrono::steady_clock::now() > deadline)
            throw std::runtime_error("process did not exit in time; output: " + output());
        std::this_thread::sleep_for(pollInterval);
    }
    return m_exitCode;
}

double Process::processorSeconds() const
{
    std::ifstream file("/proc/" + std::to_string(m_pid) + "/stat");
    std::string text;
    std::getline(file, text);
    std::stringstream fields(text.substr(text.rfind(')') + 2));
    std::string skipped;
    // Skips the fields from the state to cmajflt; utime and stime follow, in clock ticks.
    for (int i = 0; i < 11; ++i)
        fields >> skipped;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

std::size_t Process::memoryBytes() const
{
    std::ifstream file("/proc/" + std::to_string(m_pid) + "/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

std::size_t Process::peakMemoryBytes() const
{
    std::ifstream file("/proc/" + std::to_string(m_pid) + "/status");
    std::string word;
    std::size_t kilobytes = 0;
    while (file >> word) {
        if (word == "VmHWM:")
            file >> kilobytes;
    }
    return 1024 * kilobytes;
}

CommandResult runCommand(const std::vector<std::string> &arguments, double seconds)
{
    Process process(arguments);
    CommandResult result;
    result.exitCode = process.wait(seconds);
    result.output = process.output();
    return result;
}

std::string programPath(const std::string &name)
{
    return std::string(GOLDCRESTLINE_BUILD_FOLDER) + "/" + name;
}

std::string scratchFolder()
{
    const auto path = scratchRoot().path + "/" + std::to_string(++scratchRoot().lastSubfolder);
    std::filesystem::create_directory(path);
    return path;
}

std::vector<int> freePorts(std::size_t n)
{
    // Below the range from which the kernel takes ports for connections and proxies, so that none
    // of these gets a port between this check and its use. Test processes that run at once begin at
    // different places.
    constexpr int firstPort = 20000;
    constexpr int portCount = 12000;
    constexpr int portsPerProcess = 60;
    static int next = static_cast<int>(getpid()) % (portCount / portsPerProcess) * portsPerProcess;
    std::vector<int> ports;
    for (int tries = 0; ports.size() < n; ++tries) {
        if (tries == portCount)
            throw std::runtime_error("cannot bind a socket to a free port on 127.0.0.1");
        const int port = firstPort + next;
        next = (next + 1) % portCount;
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        if (bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0)
            ports.push_back(port);
        close(fd);
    }
    return ports;
}

void writeFile(const std::string &path, const std::string &text)
{
    std::ofstream(path) << text;
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace harness
