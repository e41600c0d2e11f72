#pragma once

#include "cluster.h"

#include <atomic>
#include <iostream>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace harness {

// Connects to an address; returns the socket, or -1.
int connectTo(const std::string &address);

// Sends all bytes; returns false if the peer closed.
bool sendAll(int fd, const std::string &bytes);

// Reads until `count` whole answers came, the peer closes or `seconds` pass.
std::string readAnswers(int fd, std::size_t count, double seconds = 5);

// Returns a POST request in bytes.
std::string postBytes(const std::string &path, const std::string &body,
                      const std::string &customer = "app");

// Returns what the servers echo for a request's body.
std::string echoOf(const std::string &body);

// What callers saw of a load, by result code.
struct Seen
{
    std::map<int, int> codes;
    int lost = 0;
    int wrong = 0;
    int mixed = 0;
    int inflated = 0;
    int partial = 0;
    std::vector<double> tookMs;
    std::vector<std::string> problems;
};

// Judges one answer to a query: its own body's echo, one snapshot, true coverage.
void judgeQuery(const TransferResult &result, const std::string &body, Seen &seen);

// Threads that send queries to entry points as callers do: they ask for addresses, keep them as
// long as told, connect anew for each request, and go on to the next address when one refuses the
// connection.
class Callers
{
public:
    Callers(const Cluster &cluster, int threads, std::string service, int deadlineMs = 1000);
    ~Callers();

    // Stops the threads and returns what they saw.
    Seen finish();

    // Answers so far.
    int answers() const { return m_answers; }

private:
    void work(int number);
    std::vector<std::string> entryPoints(std::string &control, double &keepSeconds);

    const Cluster &m_cluster;
    std::string m_service;
    int m_deadlineMs;
    std::vector<std::string> m_controls;
    std::atomic<bool> m_stop{false};
    std::atomic<int> m_answers{0};
    std::mutex m_mutex;
    Seen m_seen;
    std::vector<std::thread> m_threads;
};

} // namespace harness
