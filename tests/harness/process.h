#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace harness {

// A child process whose output goes to a file. Ends with the object.
class Process
{
public:
    // Starts `arguments[0]`. Throws std::runtime_error if it cannot.
    explicit Process(const std::vector<std::string> &arguments);
    ~Process();
    Process(Process &&other) noexcept;
    Process &operator=(Process &&other) noexcept;

    // Waits for a line that starts with `prefix` and returns the rest of it. Throws after 20 s or
    // if the process ends first.
    std::string waitForLine(const std::string &prefix) const;

    // Sends a signal.
    void signal(int number) const;

    // Waits for the end and returns the exit code, or minus the signal. Throws after `seconds`.
    int wait(double seconds = 20);

    bool running();
    std::string output() const;
    pid_t pid() const { return m_pid; }

    // Processor time used so far, in seconds, and resident memory in bytes.
    double processorSeconds() const;
    std::size_t memoryBytes() const;

private:
    pid_t m_pid = -1;
    int m_exitCode = 0;
    std::string m_outputPath;
};

// Runs a command to its end and returns its exit code and output.
struct CommandResult
{
    int exitCode = 0;
    std::string output;
};
CommandResult runCommand(const std::vector<std::string> &arguments, double seconds = 120);

// Returns the path of a program of this build.
std::string programPath(const std::string &name);

// Returns a new empty folder that is removed when the process ends.
std::string scratchFolder();

// Returns `n` different ports that are free now.
std::vector<int> freePorts(std::size_t n);

// Writes or reads a whole file.
void writeFile(const std::string &path, const std::string &text);
std::string readFile(const std::string &path);

} // namespace harness
