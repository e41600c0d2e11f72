#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace harness {

// A child process whose standard output and standard error are written to a file. The destructor
// kills it.
class Process
{
public:
    // Starts the program `arguments[0]`. Throws std::runtime_error if fork fails; if the program
    // cannot be executed, the child exits with code 127.
    explicit Process(const std::vector<std::string> &arguments);
    ~Process();
    Process(Process &&other) noexcept;
    Process &operator=(Process &&other) noexcept;

    // Waits until a line of the output contains `prefix` and returns the text after it. Throws
    // std::runtime_error after 20 s, or if the process exits first.
    std::string waitForLine(const std::string &prefix) const;

    // Sends a signal, if the process is running.
    void signal(int number) const;

    // Waits for the process to exit and returns the exit code, or the negated number of the signal
    // that killed it. Throws std::runtime_error after `seconds`.
    int wait(double seconds = 20);

    // Returns whether the process still runs; reaps it once it has exited.
    bool running();
    std::string output() const;
    pid_t pid() const { return m_pid; }

    // Processor time used since the start, in seconds, and resident memory, in bytes.
    double processorSeconds() const;
    std::size_t memoryBytes() const;
    // Largest resident memory since the start, in bytes.
    std::size_t peakMemoryBytes() const;

private:
    pid_t m_pid = -1;
    int m_exitCode = 0;
    std::string m_outputPath;
};

// Exit code and output of a command.
struct CommandResult
{
    int exitCode = 0;
    std::string output;
};

// Runs a command and waits for it to exit. Throws std::runtime_error after `seconds`.
CommandResult runCommand(const std::vector<std::string> &arguments, double seconds = 120);

// Returns the path of a program in the build folder.
std::string programPath(const std::string &name);

// Creates an empty folder that is removed when the test process exits, and returns its path. Not
// thread-safe.
std::string scratchFolder();

// Returns `n` different TCP ports of 127.0.0.1 that are free at the time of the call.
std::vector<int> freePorts(std::size_t n);

void writeFile(const std::string &path, const std::string &text);
std::string readFile(const std::string &path);

} // namespace harness
